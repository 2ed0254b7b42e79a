// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>

#include "pathcleat/host/run.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/host/upstream_pool.hpp"

namespace pathcleat {

/// @brief Runs a request on an upstream that this host owns: waits for a
/// slot, checks the permit to send, sends once, and keeps the slot filled
/// until the upstream is known to have let go.
/// @param context object of the calling thread; the callback comes there.
/// @ingroup host
RunHandlePtr RunAtOwner(Shared& shared,
                        UpstreamPool& pool,
                        QObject* context,
                        RunRequestPtr request,
                        RunCallback callback);

}  // namespace pathcleat
