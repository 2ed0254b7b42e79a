// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

/// @brief Hashes of the entries of a list in one version, in their order.
/// Equal entries have equal marks on every host; an entry's own is told by its
/// MarkOf.
/// @ingroup routing
using ListHashes = std::vector<std::uint64_t>;

/// @brief A part of a new list: some entries of the old list in their order,
/// then some that the old list lacks.
/// @ingroup routing
template <class Entry>
struct ListDeltaStep {
  std::uint32_t copy_from = 0;   ///< place in the old list
  std::uint32_t copy_count = 0;  ///< entries taken from there
  std::vector<Entry> added;
};

/// @brief The marks of a list.
/// @ingroup routing
template <class Entry>
ListHashes ContentHashes(const std::vector<Entry>& entries) {
  ListHashes marks;
  marks.reserve(entries.size());
  for (const Entry& entry : entries) {
    marks.push_back(ContentHash(entry));
  }
  return marks;
}

/// @brief One hash of all marks, to check a list that was put together.
/// @ingroup routing
inline std::uint64_t DigestOf(const ListHashes& marks) {
  std::uint64_t digest = marks.size();
  for (const std::uint64_t mark : marks) {
    digest = MixHashes(digest, mark);
  }
  return digest;
}

/// @brief What makes a new list of an old one, of which only the marks are
/// known.
/// @ingroup routing
template <class Entry>
std::vector<ListDeltaStep<Entry>> ComputeListDelta(
    const ListHashes& old_marks,
    const std::vector<Entry>& entries,
    const ListHashes& marks) {
  std::unordered_map<std::uint64_t, std::uint32_t> places;
  for (std::uint32_t i = 0; i < old_marks.size(); ++i) {
    places.emplace(old_marks[i], i);
  }
  std::vector<ListDeltaStep<Entry>> steps(1);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto place = places.find(marks[i]);
    if (place == places.end()) {
      steps.back().added.push_back(entries[i]);
      continue;
    }
    ListDeltaStep<Entry>& step = steps.back();
    if (step.added.empty() &&
        step.copy_from + step.copy_count == place->second) {
      ++step.copy_count;
    } else {
      steps.push_back({place->second, 1, {}});
    }
  }
  return steps;
}

/// @brief The new list.
/// @param digest of the new list's marks.
/// @return nothing if the steps do not lead to it from this old list.
/// @ingroup routing
template <class Entry>
std::optional<std::vector<Entry>> ApplyListDelta(
    const std::vector<Entry>& old_entries,
    const std::vector<ListDeltaStep<Entry>>& steps,
    std::uint64_t digest) {
  std::vector<Entry> entries;
  for (const ListDeltaStep<Entry>& step : steps) {
    const bool has_places =
        step.copy_from <= old_entries.size() &&
        step.copy_count <= old_entries.size() - step.copy_from;
    if (!has_places) {
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
