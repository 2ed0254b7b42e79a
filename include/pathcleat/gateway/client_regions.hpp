// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/steer/client_block_table.hpp"
#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief Maps client addresses to the region nearest to them, for the address
/// blocks that operators have assigned. Uses no table memory until a block is
/// assigned.
/// @ingroup gateway
class ClientRegions {
 public:
  /// @param regions names of all regions.
  explicit ClientRegions(std::vector<std::string> regions);

  /// @brief Replaces all assignments by the blocks of a configuration; where
  /// blocks overlap, the later block applies.
  void Assign(const std::vector<AssignClientBlock>& blocks);

  /// @param address IPv4 address in text form.
  /// @return no value if the address is invalid or in no assigned block.
  std::optional<std::string> RegionOf(const std::string& address) const;

  std::size_t assigned_count() const { return assigned_count_; }

 private:
  std::vector<std::string> regions_;
  std::optional<ClientBlockTable> table_;
  std::size_t assigned_count_ = 0;
};

}  // namespace pathcleat
