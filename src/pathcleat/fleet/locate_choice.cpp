// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/locate_choice.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/capacity_scale.hpp"
#include "pathcleat/fleet/load_step_control.hpp"

namespace pathcleat {
namespace {

// A caller that has the address of a single host cannot reach the fleet once
// that host fails.
constexpr std::size_t kMinNamed = 2;
// Number of addresses of a caller where hosts differ. If 60% of all hosts die
// at the same moment, 0.6^8 = 1.7% of the callers lose all addresses until
// their answer expires, after 2 to 6 s. With more addresses small hosts get a
// larger share of the requests.
constexpr std::size_t kTargetNamed = 8;
// Of a small failure domain, high utilization leaves at least this share of the
// hosts in each answer.
constexpr double kMinNamedShare = 0.6;
// Steps between the scales that FindScale tries. Coarse steps keep answers as
// they are while single hosts come and go.
constexpr double kScaleStep = 1.25;
// Callers leave their failure domain only if its hosts are more utilized than
// those of the other domains by this share, so that single hosts do not matter.
constexpr double kToleratedDifference = 0.2;
// Weights that differ by less are equal but for rounding.
constexpr double kWeightTolerance = 1e-3;

}  // namespace

LocateChoice::LocateChoice(const std::vector<const HostInfo*>& hosts,
                           const std::string& region,
                           const std::string& domain) {
  CapacityScale scale;
  std::set<std::string> domains;  // of the region
  for (const HostInfo* host : hosts) {
    if (host->region == region) {
      scale.Add(*host);
      domains.insert(host->domain);
    }
  }
  for (const HostInfo* host : hosts) {
    Candidate candidate;
    candidate.address = host->caller_address;
    candidate.hash = StableHash(host->name);
    candidate.distance =
        host->domain == domain ? 0 : (host->region == region ? 1 : 2);
    candidate.weight = scale.WeightOf(*host);
    candidate.kept_share = LoadShare(host->load_step);
    candidates_.push_back(std::move(candidate));
  }
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.distance < b.distance;
                   });
  KeepNear(domains.size());
  SetShares();
}

// Keeps the nearest hosts, at least two and all at the distance of the second
// one, and, if these are of the callers' failure domain, the hosts that the
// other domains of the region may lend.
void LocateChoice::KeepNear(std::size_t domain_count) {
  if (candidates_.size() <= kMinNamed) {
    own_count_ = candidates_.size();
    return;
  }
  const int farthest = candidates_[kMinNamed - 1].distance;
  std::erase_if(candidates_, [farthest](const Candidate& candidate) {
    return candidate.distance > std::max(1, farthest);
  });
  for (Candidate& candidate : candidates_) {
    candidate.is_lent = candidate.distance > farthest;
    own_count_ += candidate.is_lent ? 0 : 1;
  }
  if (own_count_ < candidates_.size()) {
    lending_domains_ =
        static_cast<double>(std::max<std::size_t>(domain_count, 2) - 1);
  }
}

// A host is named to its own domain first. Of a host that all callers of its
// domain are to be told, the rest goes to the other domains of the region.
double LocateChoice::ShareAt(const Candidate& candidate, double scale) const {
  const double wanted = scale * candidate.weight;
  return candidate.is_lent
             ? std::clamp((wanted - 1) / lending_domains_, 0.0, 1.0)
             : std::min(1.0, wanted);
}

double LocateChoice::ExpectedCount(double scale) const {
  double count = 0;
  for (const Candidate& candidate : candidates_) {
    count += ShareAt(candidate, scale);
  }
  return count;
}

// The smallest scale that gives callers enough addresses. At most, all hosts of
// the callers' domain are named to all its callers.
double LocateChoice::FindScale() const {
  double low = 1;
  double high = 0;
  for (const Candidate& candidate : candidates_) {
    if (!candidate.is_lent) {
      low = std::min(low, candidate.weight);
    }
    high = std::max(high, candidate.weight);
  }
  double scale = 1 / high;
  const double max_scale = 1 / low;
  while (scale < max_scale &&
         ExpectedCount(scale) < static_cast<double>(kTargetNamed)) {
    scale *= kScaleStep;
  }
  return std::min(scale, max_scale);
}

// Share of their capacity by which the hosts of the callers' domain are more
// utilized than those of the other domains of the region.
double LocateChoice::MissingCapacity() const {
  double own = 0;
  double own_kept = 0;
  double others = 0;
  double others_kept = 0;
  for (const Candidate& candidate : candidates_) {
    (candidate.is_lent ? others : own) += candidate.weight;
    (candidate.is_lent ? others_kept : own_kept) +=
        candidate.weight * candidate.kept_share;
  }
  return others == 0 || own == 0
             ? 0
             : std::max(0.0, others_kept / others - own_kept / own -
                                 kToleratedDifference) /
                   (1 - kToleratedDifference);
}

void LocateChoice::SetShares() {
  if (candidates_.empty()) {
    return;
  }
  const auto differs = [this](const Candidate& candidate) {
    return std::abs(candidate.weight - candidates_.front().weight) >
           kWeightTolerance;
  };
  alike_ = std::none_of(candidates_.begin(), candidates_.end(), differs);
  const double scale = FindScale();
  const double missing = MissingCapacity();
  // Where all hosts are equally utilized, leaving some out helps none of them.
  double largest_kept = 0;
  for (const Candidate& candidate : candidates_) {
    largest_kept = std::max(largest_kept, candidate.kept_share);
  }
  for (Candidate& candidate : candidates_) {
    double share = ShareAt(candidate, scale);
    if (candidate.is_lent) {
      share +=
          missing * std::min(1.0, scale * candidate.weight) / lending_domains_;
    }
    candidate.share =
        std::min(1.0, share) * candidate.kept_share / largest_kept;
  }
  std::erase_if(candidates_, [](const Candidate& candidate) {
    return candidate.share <= 0;
  });
}

// The hosts whose hash with the caller is below their share, by rank. If they
// are too few, the hosts that come next by hash and share.
std::vector<LocateChoice::Ranked> LocateChoice::NamedTo(
    std::uint64_t caller) const {
  std::vector<Ranked> ranked;
  ranked.reserve(candidates_.size());
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const Candidate& candidate = candidates_[i];
    const double position = ToUnitInterval(MixHashes(caller, candidate.hash));
    ranked.push_back({i, position / candidate.share});
  }
  const auto least = std::max(
      kMinNamed, static_cast<std::size_t>(std::ceil(
                     kMinNamedShare * static_cast<double>(own_count_))));
  const std::size_t min_count = std::min({least, kTargetNamed, ranked.size()});
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
  std::size_t count = min_count;
  while (count < ranked.size() && ranked[count].rank < 1) {
    ++count;
  }
  ranked.resize(count);
  return ranked;
}

std::vector<std::string> LocateChoice::For(std::uint64_t caller,
                                           std::size_t max_count) const {
  std::vector<Ranked> named = NamedTo(caller);
  const auto in_order = [](const Ranked& a, const Ranked& b) {
    return a.index < b.index;
  };
  // Where hosts are alike, the order of the hosts decides which addresses
  // exceed `max_count`, so that answers do not depend on the caller.
  if (alike_) {
    std::sort(named.begin(), named.end(), in_order);
  }
  named.resize(std::min(named.size(), max_count));
  std::sort(named.begin(), named.end(), in_order);
  std::vector<std::string> addresses;
  addresses.reserve(named.size());
  for (const Ranked& host : named) {
    addresses.push_back(candidates_[host.index].address);
  }
  return addresses;
}

}  // namespace pathcleat
