// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace pathcleat {

/// @brief Which keys of a topic changed at which version, as far back as a
/// bounded memory goes, so that a host can tell others what changed since
/// the version that they know. Not thread-safe.
/// @ingroup feeds
class ChangeJournal {
 public:
  /// @param capacity changes kept; older ones are forgotten.
  explicit ChangeJournal(std::size_t capacity);

  /// @brief A key changed. Versions never fall.
  void Append(std::uint64_t version, const std::string& key);

  /// @brief Everything was read anew as of a version: what changed before it
  /// is not known any more.
  void ResetTo(std::uint64_t version);

  /// @brief The keys that changed after a version; nothing if the memory does
  /// not go back that far.
  std::optional<std::set<std::string>> ChangedSince(
      std::uint64_t version) const;

 private:
  struct Change {
    std::uint64_t version;
    std::string key;
  };

  std::size_t capacity_;
  std::uint64_t floor_ = 0;  ///< all changes after it are known
  std::deque<Change> changes_;
};

}  // namespace pathcleat
