// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/fleet/host_info.hpp"

namespace pathcleat {

/// @brief The hosts that callers of one failure domain may be sent to, each
/// with the share of these callers that it is named to.
///
/// Callers choose uniformly among the addresses of an answer, so a host of
/// larger capacity is named to more callers than a smaller one. Whether a host
/// is named to a caller depends on a hash of the two and on the host's share
/// alone, so a change at one host leaves the rest of the caller's answer as it
/// is. If all hosts are alike or state no capacity, each caller gets the
/// addresses of all hosts of its failure domain.
/// @ingroup fleet
class LocateChoice {
 public:
  /// @param hosts those that accept callers, in the order in which they are
  /// named.
  /// @param region of the callers.
  /// @param domain failure domain of the callers; may be empty.
  LocateChoice(const std::vector<const HostInfo*>& hosts,
               const std::string& region,
               const std::string& domain);

  /// @brief Addresses for a caller, nearest first.
  /// @param caller hash of the caller's address.
  std::vector<std::string> For(std::uint64_t caller,
                               std::size_t max_count) const;

 private:
  struct Candidate {
    std::string address;
    std::uint64_t hash = 0;
    int distance = 0;
    bool is_lent = false;   ///< of another domain, beside enough own hosts
    double weight = 1;      ///< from the capacities
    double kept_share = 1;  ///< LoadShare of the host
    double share = 1;       ///< share of the callers that get the address
  };
  struct Ranked {
    std::size_t index;
    double rank;
  };

  void KeepNear(std::size_t domain_count);
  double ExpectedCount(double scale) const;
  double ShareAt(const Candidate& candidate, double scale) const;
  double FindScale() const;
  double MissingCapacity() const;
  void SetShares();
  std::vector<Ranked> NamedTo(std::uint64_t caller) const;

  std::vector<Candidate> candidates_;
  std::size_t own_count_ = 0;  ///< candidates that are not lent
  /// Number of other failure domains of the region that lend hosts.
  double lending_domains_ = 0;
  bool alike_ = true;  ///< all weights are equal
};

}  // namespace pathcleat
