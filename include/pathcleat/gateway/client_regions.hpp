// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/steer/client_block_table.hpp"
#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief Which region a client address is nearest to, where operators have
/// said so. Costs no memory until they have.
/// @ingroup gateway
class ClientRegions {
 public:
  /// @param regions names of all regions.
  explicit ClientRegions(std::vector<std::string> regions);

  /// @brief Takes the blocks of a configuration over; later ones win.
  void Assign(const std::vector<AssignClientBlock>& blocks);

  /// @param address IPv4 address as text.
  std::optional<std::string> RegionOf(const std::string& address) const;

  std::size_t assigned_count() const { return assigned_; }

 private:
  std::vector<std::string> regions_;
  std::optional<ClientBlockTable> table_;
  std::size_t assigned_ = 0;
};

}  // namespace pathcleat
