// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

namespace pathcleat {

/// @brief Names of the header fields that callers, hosts and upstreams
/// exchange. The defaults are those of this project; an adapter may set others.
/// An empty name means that the field is not used.
/// @ingroup calls
struct HeaderNames {
  std::string request_id = "X-Request-Id";
  std::string deadline_ms = "X-Deadline-Ms";  ///< time left until the deadline
  std::string affinity_key = "X-Affinity-Key";
  std::string expect_upstream = "X-Expect-Upstream";
  std::string upstream_id = "X-Upstream-Id";
  std::string account = "X-Account";     ///< name of the caller's account
  std::string load = "X-Upstream-Load";  ///< "running,waiting,slots": counts
  std::string rate_limit =
      "X-Upstream-Limit";  ///< requests per second that the upstream accepts
  std::string leaving =
      "X-Upstream-Leaving";  ///< "1": the upstream is about to stop
  std::string not_run = "X-Not-Run";
  std::string cold_ms = "X-Cold-Ms";
  std::string signature;  ///< field that every complete answer carries
};

}  // namespace pathcleat
