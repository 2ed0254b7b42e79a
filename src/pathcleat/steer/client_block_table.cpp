// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/client_block_table.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pathcleat {
namespace {

constexpr std::size_t kChunkCount = 256;
constexpr int kChunkShift = 24;
constexpr int kIndexShift = 16;
constexpr std::size_t kIndexSize = 256;
constexpr std::uint32_t kChunkMask = (1U << kChunkShift) - 1;
// Number of overlay entries that triggers a merge into the arrays.
constexpr std::size_t kCompactThreshold = 4'096;

std::uint32_t FirstAddressOf(std::size_t chunk) {
  return static_cast<std::uint32_t>(chunk << kChunkShift);
}

std::size_t ChunkOf(std::uint32_t address) {
  return address >> kChunkShift;
}

}  // namespace

ClientBlockTable::ClientBlockTable(const std::vector<ClientBlockRow>& rows)
    : chunks_(kChunkCount) {
  auto row = rows.begin();
  std::uint16_t region = 0;
  for (std::size_t c = 0; c < kChunkCount; ++c) {
    Chunk& chunk = chunks_[c];
    const auto end =
        std::find_if(row, rows.end(), [c](const ClientBlockRow& item) {
          return ChunkOf(item.first_address) != c;
        });
    const auto count = static_cast<std::size_t>(end - row) + 1;
    chunk.starts.reserve(count);
    chunk.regions.reserve(count);
    if (row == end || row->first_address != FirstAddressOf(c)) {
      chunk.starts.push_back(FirstAddressOf(c));
      chunk.regions.push_back(region);
    }
    for (; row != end; ++row) {
      region = row->region_number;
      chunk.starts.push_back(row->first_address);
      chunk.regions.push_back(region);
    }
    BuildIndex(chunk);
  }
}

std::size_t ClientBlockTable::rows() const {
  std::size_t sum = 0;
  for (const Chunk& chunk : chunks_) {
    sum += chunk.starts.size();
  }
  return sum;
}

void ClientBlockTable::BuildIndex(Chunk& chunk) {
  const std::uint32_t first = chunk.starts.front();
  chunk.index.resize(kIndexSize + 1);
  std::size_t row = 0;
  for (std::size_t second = 0; second < kIndexSize; ++second) {
    const auto address =
        first + static_cast<std::uint32_t>(second << kIndexShift);
    while (row + 1 < chunk.starts.size() && chunk.starts[row + 1] <= address) {
      ++row;
    }
    chunk.index[second] = static_cast<std::uint32_t>(row);
  }
  chunk.index[kIndexSize] = static_cast<std::uint32_t>(chunk.starts.size() - 1);
}

std::uint16_t ClientBlockTable::FindInChunk(const Chunk& chunk,
                                            std::uint32_t address) {
  const std::size_t second = (address & kChunkMask) >> kIndexShift;
  const auto begin = chunk.starts.begin();
  const auto after =
      std::upper_bound(begin + chunk.index[second],
                       begin + chunk.index[second + 1] + 1, address);
  return chunk.regions[static_cast<std::size_t>(after - begin) - 1];
}

std::uint16_t ClientBlockTable::Find(std::uint32_t address) const {
  if (!overlay_.empty()) {
    const auto after = overlay_.upper_bound(address);
    if (after != overlay_.begin()) {
      const Range& range = std::prev(after)->second;
      if (address <= range.last) {
        return range.region;
      }
    }
  }
  return FindInChunk(chunks_[ChunkOf(address)], address);
}

void ClientBlockTable::Assign(std::uint32_t first,
                              std::uint32_t last,
                              std::uint16_t region) {
  // Trim or remove the ranges that the new range overlaps.
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
      overlay_[old_first] = {first - 1, old.region};
    }
    if (old.last > last) {
      overlay_[last + 1] = {old.last, old.region};
      break;
    }
  }
  overlay_[first] = {last, region};
  if (overlay_.size() >= kCompactThreshold) {
    Compact();
  }
}

void ClientBlockTable::Compact() {
  std::vector<std::vector<Change>> changes(kChunkCount);
  for (const auto& [first, range] : overlay_) {
    for (std::size_t c = ChunkOf(first); c <= ChunkOf(range.last); ++c) {
      changes[c].push_back(
          {std::max(first, FirstAddressOf(c)),
           std::min(range.last, FirstAddressOf(c) | kChunkMask), range.region});
    }
  }
  overlay_.clear();
  for (std::size_t c = 0; c < kChunkCount; ++c) {
    if (!changes[c].empty()) {
      Merge(chunks_[c], changes[c]);
    }
  }
}

// Requires changes that are sorted, disjoint, and within the chunk.
void ClientBlockTable::Merge(Chunk& chunk, const std::vector<Change>& changes) {
  const std::uint32_t chunk_last = chunk.starts.front() | kChunkMask;
  Chunk merged;
  merged.starts.reserve(chunk.starts.size() + 2 * changes.size());
  merged.regions.reserve(chunk.starts.size() + 2 * changes.size());
  const auto append = [&merged](std::uint32_t start, std::uint16_t region) {
    if (merged.starts.empty() || merged.regions.back() != region) {
      merged.starts.push_back(start);
      merged.regions.push_back(region);
    }
  };
  std::size_t row = 0;
  for (const Change& change : changes) {
    for (; row < chunk.starts.size() && chunk.starts[row] < change.first;
         ++row) {
      append(chunk.starts[row], chunk.regions[row]);
    }
    append(change.first, change.region);
    while (row < chunk.starts.size() && chunk.starts[row] <= change.last) {
      ++row;
    }
    const bool resumes_next =
        row < chunk.starts.size() && chunk.starts[row] == change.last + 1;
    if (change.last != chunk_last && !resumes_next) {
      append(change.last + 1, FindInChunk(chunk, change.last + 1));
    }
  }
  for (; row < chunk.starts.size(); ++row) {
    append(chunk.starts[row], chunk.regions[row]);
  }
  merged.starts.shrink_to_fit();
  merged.regions.shrink_to_fit();
  BuildIndex(merged);
  chunk = std::move(merged);
}

std::size_t ClientBlockTable::MemoryBytes() const {
  // Size of a node of the overlay, a red-black tree: three pointers, a colour,
  // and the entry.
  constexpr std::size_t kNodeBytes = 4 * sizeof(void*) + 16;
  std::size_t bytes = overlay_.size() * kNodeBytes;
  for (const Chunk& chunk : chunks_) {
    bytes += sizeof(Chunk) + chunk.starts.capacity() * sizeof(std::uint32_t) +
             chunk.regions.capacity() * sizeof(std::uint16_t) +
             chunk.index.capacity() * sizeof(std::uint32_t);
  }
  return bytes;
}

}  // namespace pathcleat
