// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Periods and bounds of the protocols between hosts.
/// @ingroup settings
struct Timing {
  Duration heartbeat_period{250'000};
  Duration gossip_period{250'000};
  Duration lease_length{6'000'000};
  Duration lease_renewal{2'000'000};
  /// Added to a deadline before a slot or seat counts as let go.
  Duration release_margin{500'000};
  /// Unheard for this long, a peer counts as silent.
  Duration peer_silence{1'500'000};
  Duration probe_period{1'000'000};
  Duration locate_ttl{5'000'000};
  Duration config_poll{1'000'000};
  Duration platform_timeout{1'000'000};
};

}  // namespace pathcleat
