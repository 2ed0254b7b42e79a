// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <map>
#include <vector>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/net/http_client_connection.hpp"
#include "pathcleat/settings/host_settings.hpp"

namespace pathcleat {

/// @brief One worker's open, idle connections to upstreams. A connection is
/// given out only if it is new, or was idle for a short time and a look at
/// the socket finds it open and silent.
/// @ingroup host
class UpstreamPool : public QObject {
 public:
  UpstreamPool(const HostSettings& settings, QObject* parent);

  /// @brief A connection for one request; give it back or delete it.
  HttpClientConnection* Take(UpstreamIndex upstream);

  /// @brief Keeps a connection for the next request, or deletes it.
  void GiveBack(UpstreamIndex upstream, HttpClientConnection* connection);

 private:
  struct Idle {
    HttpClientConnection* connection = nullptr;
    Time since;
  };

  const HostSettings& settings_;
  std::map<UpstreamIndex, std::vector<Idle>> idle_;
};

}  // namespace pathcleat
