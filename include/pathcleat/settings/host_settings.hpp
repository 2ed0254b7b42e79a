// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>

#include "pathcleat/net/http_limits.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief Everything one entry host learns at its start.
/// @ingroup settings
struct HostSettings {
  SeatIndex seat;
  int workers = 2;
  std::size_t max_connections = 2'000;
  std::size_t max_waiting = 256;  ///< requests waiting at an owned service
  std::size_t events_kept = 4'096;
  HttpLimits caller_limits;
  std::uint64_t max_answer_bytes = 8ULL * 1024 * 1024;
  std::string peer_key;        ///< shared by all hosts of the deployment
  std::string operator_token;  ///< proves an operator
  Deployment deployment;

  const Seat& self() const { return deployment.At(seat); }
};

}  // namespace pathcleat
