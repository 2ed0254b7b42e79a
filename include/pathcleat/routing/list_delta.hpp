// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

/// @brief Hashes of the entries of one version of a list, in list order. Equal
/// entries have equal hashes on every host; an overload of ContentHash defines
/// the hash of each type of entry.
/// @ingroup routing
using ListHashes = std::vector<std::uint64_t>;

/// @brief A part of a new list: consecutive entries of the old list in their
/// order, then entries that the old list lacks.
/// @ingroup routing
template <class Entry>
struct ListDeltaStep {
  std::uint32_t copy_from = 0;   ///< index in the old list
  std::uint32_t copy_count = 0;  ///< number of entries copied from copy_from on
  std::vector<Entry> added;
};

/// @brief Hashes the entries of a list.
/// @ingroup routing
template <class Entry>
ListHashes ContentHashes(const std::vector<Entry>& entries) {
  ListHashes hashes;
  hashes.reserve(entries.size());
  for (const Entry& entry : entries) {
    hashes.push_back(ContentHash(entry));
  }
  return hashes;
}

/// @brief One hash of all entry hashes, to verify a list that was assembled
/// from steps.
/// @ingroup routing
inline std::uint64_t DigestOf(const ListHashes& hashes) {
  std::uint64_t digest = hashes.size();
  for (const std::uint64_t hash : hashes) {
    digest = MixHashes(digest, hash);
  }
  return digest;
}

/// @brief Computes the steps that turn an old list into a new one. Of the old
/// list, only the hashes are needed.
/// @param entries all entries of the new list.
/// @param hashes hashes of the new list's entries.
/// @ingroup routing
template <class Entry>
std::vector<ListDeltaStep<Entry>> ComputeListDelta(
    const ListHashes& old_hashes,
    const std::vector<Entry>& entries,
    const ListHashes& hashes) {
  std::unordered_map<std::uint64_t, std::uint32_t> old_indexes;
  for (std::uint32_t i = 0; i < old_hashes.size(); ++i) {
    old_indexes.emplace(old_hashes[i], i);
  }
  std::vector<ListDeltaStep<Entry>> steps(1);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto old_index = old_indexes.find(hashes[i]);
    if (old_index == old_indexes.end()) {
      steps.back().added.push_back(entries[i]);
      continue;
    }
    ListDeltaStep<Entry>& step = steps.back();
    if (step.added.empty() &&
        step.copy_from + step.copy_count == old_index->second) {
      ++step.copy_count;
    } else {
      steps.push_back({old_index->second, 1, {}});
    }
  }
  return steps;
}

/// @brief Builds the new list from the old list and the steps.
/// @param digest DigestOf the new list's hashes.
/// @return empty if the steps, applied to this old list, do not result in the
/// new list.
/// @ingroup routing
template <class Entry>
std::optional<std::vector<Entry>> ApplyListDelta(
    const std::vector<Entry>& old_entries,
    const std::vector<ListDeltaStep<Entry>>& steps,
    std::uint64_t digest) {
  std::vector<Entry> entries;
  for (const ListDeltaStep<Entry>& step : steps) {
    const bool is_in_range =
        step.copy_from <= old_entries.size() &&
        step.copy_count <= old_entries.size() - step.copy_from;
    if (!is_in_range) {
      return std::nullopt;
    }
    const auto from = old_entries.begin() + step.copy_from;
    entries.insert(entries.end(), from, from + step.copy_count);
    entries.insert(entries.end(), step.added.begin(), step.added.end());
  }
  if (DigestOf(ContentHashes(entries)) != digest) {
    return std::nullopt;
  }
  return entries;
}

}  // namespace pathcleat
