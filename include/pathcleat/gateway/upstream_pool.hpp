// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/http/http_client.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief Kept connections to the upstreams, by upstream. The last one used
/// is used first, so that those not needed grow old and are closed.
/// @ingroup gateway
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& loop) : loop_(loop) {}

  /// @brief A connection for one request: a kept one or one not yet open.
  HttpClientPtr Take(const UpstreamInfo& upstream, Time now);

  /// @brief Gives a connection back after its answer.
  void Return(const std::string& upstream_id, const HttpClientPtr& client);

  /// @brief Closes the kept connections of an upstream.
  void Drop(const std::string& upstream_id);

  /// @brief Closes what has been idle for too long.
  void CloseIdle(Time now);

 private:
  static bool IsFresh(const HttpClient& client, Time now);

  boost::asio::io_context& loop_;
  std::map<std::string, std::vector<HttpClientPtr>> idle_;
};

}  // namespace pathcleat
