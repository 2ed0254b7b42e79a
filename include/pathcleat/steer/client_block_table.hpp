// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pathcleat {

/// @brief One row of the table: addresses from first_address up to the next
/// row's belong to a site.
/// @ingroup steer
struct ClientBlockRow {
  std::uint32_t first_address = 0;
  std::uint16_t region_number = 0;
};

/// @brief Looks client addresses up among millions of blocks. The rows lie
/// in flat arrays (6 bytes a row), one pair for each value of the address's
/// first byte, under an index by the second; changes go to a small ordered
/// overlay that is merged in when it has grown, one pair of arrays after the
/// other, so that a merge needs little memory beside them. Not thread-safe.
/// @ingroup steer
class ClientBlockTable {
 public:
  /// @param rows sorted by first_address, without repeats; an address before
  /// the first row belongs to site 0.
  explicit ClientBlockTable(const std::vector<ClientBlockRow>& rows);

  /// @brief Site of an address.
  std::uint16_t Find(std::uint32_t address) const;

  /// @brief Gives the addresses from first to last, inclusive, to a site.
  void Assign(std::uint32_t first, std::uint32_t last, std::uint16_t site);

  /// @brief Merges the changes into the arrays.
  void Compact();

  std::size_t rows() const;
  std::size_t pending_changes() const { return overlay_.size(); }

  /// @brief Bytes held by the arrays and the overlay, as reckoned.
  std::size_t MemoryBytes() const;

 private:
  struct Range {
    std::uint32_t last = 0;
    std::uint16_t site = 0;
  };

  // Rows of all addresses with one first byte; the first row starts at the
  // first such address.
  struct Chunk {
    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> sites;
    std::vector<std::uint32_t> index;  ///< by second byte: row it begins in
  };
  struct Change {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint16_t site = 0;
  };

  static void BuildIndex(Chunk& chunk);
  static std::uint16_t SiteIn(const Chunk& chunk, std::uint32_t address);
  static void Merge(Chunk& chunk, const std::vector<Change>& changes);

  std::vector<Chunk> chunks_;
  std::map<std::uint32_t, Range> overlay_;  ///< by first address, disjoint
};

}  // namespace pathcleat
