// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <vector>

namespace pathcleat {

/// @brief What all hosts together may send to one cold upstream.
/// @ingroup routing
struct ColdBound {
  double per_second = 0;  ///< requests a second that it bears
  double slack = 0;       ///< requests more in any one second
};

/// @brief A living host, as a candidate to send to a cold upstream.
/// @ingroup routing
struct ColdSender {
  std::uint64_t hash = 0;  ///< of its name
  bool near = false;       ///< in the upstream's region
};

/// @brief How many hosts send to a cold upstream at the same time. Each may
/// send one request at once, and half of the slack is kept back for hosts that
/// see each other come and go late.
int ColdSenderCount(double slack);

/// @brief Requests a second that a host may send to a cold upstream. All hosts
/// rank the senders alike, near ones first, so that the few which send agree
/// without talk.
/// @param self this host; it is not among the others.
/// @return 0 if the sending is left to others.
double ColdRate(const ColdBound& bound,
                std::uint64_t upstream_hash,
                const ColdSender& self,
                const std::vector<ColdSender>& others);

}  // namespace pathcleat
