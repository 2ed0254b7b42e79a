// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/block_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace pathcleat {
namespace {

constexpr int kIndexShift = 16;
constexpr std::size_t kIndexSize = 1U << 16;
constexpr std::uint32_t kLastAddress =
    std::numeric_limits<std::uint32_t>::max();
// Overlay entries at which it is merged into the arrays.
constexpr std::size_t kCompactAt = 4'096;

}  // namespace

BlockTable::BlockTable(const std::vector<BlockRow>& rows) {
  starts_.reserve(rows.size() + 1);
  sites_.reserve(rows.size() + 1);
  if (rows.empty() || rows.front().first_address != 0) {
    starts_.push_back(0);
    sites_.push_back(0);
  }
  for (const BlockRow& row : rows) {
    starts_.push_back(row.first_address);
    sites_.push_back(row.site);
  }
  BuildIndex();
}

void BlockTable::BuildIndex() {
  // index_[p]: number of rows that start at or before p's first address,
  // less one, i.e. the row that p's first address lies in.
  index_.assign(kIndexSize + 1, 0);
  std::size_t row = 0;
  for (std::size_t prefix = 0; prefix < kIndexSize; ++prefix) {
    const auto first = static_cast<std::uint32_t>(prefix << kIndexShift);
    while (row + 1 < starts_.size() && starts_[row + 1] <= first) {
      ++row;
    }
    index_[prefix] = static_cast<std::uint32_t>(row);
  }
  index_[kIndexSize] = static_cast<std::uint32_t>(starts_.size() - 1);
}

std::size_t BlockTable::RowOf(std::uint32_t address) const {
  const std::size_t prefix = address >> kIndexShift;
  const auto first = starts_.begin() + index_[prefix];
  const auto last = starts_.begin() + index_[prefix + 1] + 1;
  const auto after = std::upper_bound(first, last, address);
  return static_cast<std::size_t>(after - starts_.begin()) - 1;
}

std::uint16_t BlockTable::Find(std::uint32_t address) const {
  if (!overlay_.empty()) {
    auto after = overlay_.upper_bound(address);
    if (after != overlay_.begin()) {
      const Range& range = std::prev(after)->second;
      if (address <= range.last) {
        return range.site;
      }
    }
  }
  return sites_[RowOf(address)];
}

void BlockTable::Assign(std::uint32_t first,
                        std::uint32_t last,
                        std::uint16_t site) {
  // Cut or drop the ranges that the new one overlaps.
  auto it = overlay_.lower_bound(first);
  if (it != overlay_.begin()) {
    --it;
  }
  while (it != overlay_.end() && it->first <= last) {
    const auto [old_first, old] = *it;
    if (old.last < first) {
      ++it;
      continue;
    }
    it = overlay_.erase(it);
    if (old_first < first) {
      overlay_[old_first] = {first - 1, old.site};
    }
    if (old.last > last) {
      overlay_[last + 1] = {old.last, old.site};
      break;
    }
  }
  overlay_[first] = {last, site};
  if (overlay_.size() >= kCompactAt) {
    Compact();
  }
}

void BlockTable::Compact() {
  if (overlay_.empty()) {
    return;
  }
  std::vector<std::uint32_t> starts;
  std::vector<std::uint16_t> sites;
  starts.reserve(starts_.size() + 2 * overlay_.size());
  sites.reserve(starts_.size() + 2 * overlay_.size());
  const auto append = [&starts, &sites](std::uint32_t start,
                                        std::uint16_t site) {
    if (!starts.empty() && sites.back() == site) {
      return;
    }
    starts.push_back(start);
    sites.push_back(site);
  };
  std::size_t row = 0;
  for (const auto& [first, range] : overlay_) {
    while (row < starts_.size() && starts_[row] < first) {
      append(starts_[row], sites_[row]);
      ++row;
    }
    append(first, range.site);
    while (row < starts_.size() && starts_[row] <= range.last) {
      ++row;
    }
    const bool resumes_next = row < starts_.size() &&
                              range.last != kLastAddress &&
                              starts_[row] == range.last + 1;
    if (range.last != kLastAddress && !resumes_next) {
      append(range.last + 1, sites_[RowOf(range.last + 1)]);
    }
  }
  for (; row < starts_.size(); ++row) {
    append(starts_[row], sites_[row]);
  }
  starts_ = std::move(starts);
  sites_ = std::move(sites);
  overlay_.clear();
  BuildIndex();
}

std::size_t BlockTable::MemoryBytes() const {
  // A red-black tree node: three pointers, a colour, and the entry.
  constexpr std::size_t kNodeBytes = 4 * sizeof(void*) + 16;
  return starts_.capacity() * sizeof(std::uint32_t) +
         sites_.capacity() * sizeof(std::uint16_t) +
         index_.capacity() * sizeof(std::uint32_t) +
         overlay_.size() * kNodeBytes;
}

}  // namespace pathcleat
