// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace pathcleat {

/// @brief A bounded log of the keys of a topic and the versions at which they
/// changed, so that a host can send peers the changes since the version that
/// they have. Not thread-safe.
/// @ingroup feeds
class ChangeJournal {
 public:
  /// @param capacity maximum number of changes kept; the oldest are dropped.
  explicit ChangeJournal(std::size_t capacity);

  /// @brief Records that a key changed. Versions must not decrease.
  void Append(std::uint64_t version, const std::string& key);

  /// @brief Clears the log, because the whole topic was read anew at `version`.
  /// From then on ChangedSince returns `std::nullopt` for earlier versions.
  void ResetTo(std::uint64_t version);

  /// @brief The keys that changed after a version; `std::nullopt` if the log
  /// does not go back to that version.
  std::optional<std::set<std::string>> ChangedSince(
      std::uint64_t version) const;

 private:
  struct Change {
    std::uint64_t version;
    std::string key;
  };

  std::size_t capacity_;
  /// All changes after this version are kept.
  std::uint64_t complete_after_ = 0;
  std::deque<Change> changes_;
};

}  // namespace pathcleat
