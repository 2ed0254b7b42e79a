// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pathcleat {

/// @brief One row of the table: the addresses from first_address up to the next
/// row's first_address belong to a region.
/// @ingroup steer
struct ClientBlockRow {
  std::uint32_t first_address = 0;
  std::uint16_t region_number = 0;
};

/// @brief Maps client addresses to regions, for millions of address blocks.
/// Rows are stored in flat arrays (6 bytes a row), one pair of arrays for each
/// value of the address's first byte, with an index by the second byte. Changes
/// are collected in a small ordered map, the overlay. When the overlay has
/// 4,096 entries, its changes are merged into the arrays, one pair after the
/// other, so that a merge needs little additional memory. Not thread-safe.
/// @ingroup steer
class ClientBlockTable {
 public:
  /// @param rows sorted by first_address, without duplicates. Addresses before
  /// the first row belong to region 0.
  explicit ClientBlockTable(const std::vector<ClientBlockRow>& rows);

  /// @brief Region number of an address.
  std::uint16_t Find(std::uint32_t address) const;

  /// @brief Assigns the addresses from first to last, inclusive, to a region.
  void Assign(std::uint32_t first, std::uint32_t last, std::uint16_t region);

  /// @brief Merges the pending changes into the arrays.
  void Compact();

  std::size_t rows() const;
  std::size_t pending_changes() const { return overlay_.size(); }

  /// @brief Estimated size of the arrays and the overlay in bytes.
  std::size_t MemoryBytes() const;

 private:
  struct Range {
    std::uint32_t last = 0;
    std::uint16_t region = 0;
  };

  // Rows of all addresses with the same first byte. The first row starts at the
  // first of these addresses.
  struct Chunk {
    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> regions;
    std::vector<std::uint32_t> index;  ///< by second byte: row that contains
                                       ///< the first address with that byte
  };
  struct Change {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint16_t region = 0;
  };

  static void BuildIndex(Chunk& chunk);
  static std::uint16_t FindInChunk(const Chunk& chunk, std::uint32_t address);
  static void Merge(Chunk& chunk, const std::vector<Change>& changes);

  std::vector<Chunk> chunks_;
  std::map<std::uint32_t, Range> overlay_;  ///< by first address, disjoint
};

}  // namespace pathcleat
