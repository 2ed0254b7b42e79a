// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "pathcleat/lab/http_listener.hpp"
#include "pathcleat/lab/upstream_stand_in.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief Stand-ins for all upstreams of a deployment in one process, with a
/// control port: GET /ledger gives the sum of their ledgers as JSON, POST
/// /leaving/NAME makes one say that it leaves.
/// @ingroup lab
class UpstreamFarm : public QObject {
 public:
  UpstreamFarm(const Deployment& deployment,
               std::chrono::microseconds mean_service_time,
               QObject* parent);

  Result<void> Listen();
  Result<std::uint16_t> ListenControl(const std::string& address,
                                      std::uint16_t port);

 private:
  void Handle(const HttpExchangePtr& exchange);
  std::string LedgerJson() const;

  const Deployment& deployment_;
  std::vector<std::unique_ptr<UpstreamStandIn>> upstreams_;
  HttpListener control_;
};

}  // namespace pathcleat
