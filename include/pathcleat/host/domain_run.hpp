// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>

#include "pathcleat/host/relay_client.hpp"
#include "pathcleat/host/run.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/host/upstream_pool.hpp"

namespace pathcleat {

/// @brief Runs requests within this host's failure domain: at this host, or
/// handed on to the sibling that owns the better pool.
/// @ingroup host
class DomainRunner : public QObject {
 public:
  DomainRunner(Shared& shared, QObject* parent);

  /// @brief Runs at the best owner of this failure domain.
  RunHandlePtr RunInDomain(const RunRequestPtr& request, RunCallback callback);

  /// @brief Runs at this host or not at all.
  RunHandlePtr RunHere(const RunRequestPtr& request, RunCallback callback);

  RelayClient& relays() { return relays_; }

 private:
  Shared& shared_;
  UpstreamPool pool_;
  RelayClient relays_;
};

}  // namespace pathcleat
