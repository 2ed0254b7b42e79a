// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QMetaObject>
#include <QObject>
#include <QThread>
#include <utility>

namespace pathcleat {

/// @brief Runs a function in the thread of an object, while that lives.
/// @ingroup host
template <class Function>
void Post(QObject* context, Function&& function) {
  QMetaObject::invokeMethod(context, std::forward<Function>(function),
                            Qt::QueuedConnection);
}

/// @brief As Post, but at once if this is the object's thread.
/// @ingroup host
template <class Function>
void RunIn(QObject* context, Function&& function) {
  if (context->thread() == QThread::currentThread()) {
    std::forward<Function>(function)();
  } else {
    Post(context, std::forward<Function>(function));
  }
}

}  // namespace pathcleat
