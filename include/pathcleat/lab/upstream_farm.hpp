// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "pathcleat/http/http_server.hpp"
#include "pathcleat/lab/upstream_stand_in.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief Stand-ins for all upstreams of a deployment in one process, with a
/// control port: GET /ledger returns the sum of their ledgers as JSON,
/// /statements the requests that each got since it announced leaving or asked
/// for time without requests (times in seconds since the boot of the machine),
/// /set/UPSTREAM/leaving/1 and /set/UPSTREAM/retry-after/SECONDS make it do so.
/// /arrivals returns the times of all requests, and
/// /set/UPSTREAM/failing/PERCENT makes so many answers of an upstream fail.
/// /set/UPSTREAM/tail/SHARE:MS makes this share (0 to 1) of its requests run
/// for MS milliseconds.
/// @ingroup lab
class UpstreamFarm {
 public:
  UpstreamFarm(boost::asio::io_context& loop,
               const Deployment& deployment,
               const HeaderNames& headers,
               std::chrono::microseconds mean_service_time);

  Result<void> Listen();
  Result<std::uint16_t> ListenControl(const std::string& address,
                                      std::uint16_t port);

 private:
  void Handle(const HttpExchangePtr& exchange);
  bool ApplySetting(const std::string& target);
  std::string LedgerJson() const;
  std::string StatementsJson() const;
  std::string ArrivalsJson() const;

  const Deployment& deployment_;
  std::vector<std::unique_ptr<UpstreamStandIn>> upstreams_;
  HttpServer control_;
};

}  // namespace pathcleat
