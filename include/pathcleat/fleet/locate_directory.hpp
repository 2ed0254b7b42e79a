// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/fleet/locate_choice.hpp"

namespace pathcleat {

/// @brief The question of a caller for the hosts that it should use.
/// @ingroup fleet
struct LocateQuery {
  std::string region;
  std::string domain;  ///< failure domain; may be empty
  std::string caller;  ///< IP number
};

/// @brief Answers callers' questions for hosts: hosts of their failure domain;
/// if these are fewer than two, also hosts of their region; if these are still
/// too few, also hosts of other regions. See LocateChoice for hosts of
/// different capacity. Not thread-safe.
/// @ingroup fleet
class LocateDirectory {
 public:
  /// @param hosts must outlive this.
  explicit LocateDirectory(const HostTable& hosts) : hosts_(hosts) {}

  /// @brief Addresses that the caller should use, nearest first. Changes of the
  /// host table count after a quarter of a second at the latest.
  std::vector<std::string> Find(const LocateQuery& query,
                                std::size_t max_count,
                                Time now);

  /// @brief Number of choices that are kept for later questions.
  std::size_t choice_count() const { return choices_.size(); }

 private:
  struct Entry {
    LocateChoice choice;
    Time made;
    bool with_self;  ///< whether this host accepted callers
  };

  const HostTable& hosts_;
  /// By region and failure domain.
  std::map<std::pair<std::string, std::string>, Entry> choices_;
};

}  // namespace pathcleat
