// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>

#include "pathcleat/host/domain_run.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/wire/peer_link.hpp"

namespace pathcleat {

/// @brief The answering end of other hosts' links, in one worker: runs
/// relayed requests and serves configuration changes.
/// @ingroup host
class PeerServer : public QObject {
 public:
  PeerServer(Shared& shared, DomainRunner& runner, QObject* parent);

  /// @brief Takes over an accepted socket.
  void Accept(qintptr descriptor);

 private:
  class Session;

  Shared& shared_;
  DomainRunner& runner_;
};

}  // namespace pathcleat
