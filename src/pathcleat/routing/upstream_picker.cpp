// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_picker.hpp"

#include <algorithm>
#include <cmath>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/version_filter.hpp"

namespace pathcleat {
namespace {

constexpr double kBytesPerGigabyte = 1e9;
// Value of an answer after its target latency. An answer in time has the value
// 1.
constexpr double kLateAnswerValue = 0.2;
// The value of an answer falls smoothly around the target latency. This is the
// width of that fall, as a share of the target latency.
constexpr double kLatenessSpread = 0.15;
// Cost of one slot-second at an upstream, in values of one answer in time.
constexpr double kSlotSecondCost = 0.3;
// Answers of at least this size stay in their region if it has an upstream.
constexpr double kLargeAnswerBytes = 32'768;
// An upstream counts as warm for a key from this probability.
constexpr double kWarmThreshold = 0.5;
// Cost per rank, in values of one answer in time: a key leaves its nearest
// upstream only if the answer of a farther upstream has a value higher by this
// much per rank. With a lower cost, more upstreams than necessary become warm
// for the key, and the region that is short of slots becomes overloaded.
constexpr double kRankCost = 0.08;
// Ranks beyond those of a key's few upstreams cost no more than this rank.
constexpr std::size_t kMaxPricedRank = 2;
constexpr Duration kInitialRoundTrip{2'000};
// Weight of each new answer in the moving average of a route's answer sizes.
constexpr double kAnswerBytesWeight = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(seconds * kMicros));
}

double AnswerValue(double expected, double target) {
  const double on_time =
      1 / (1 + std::exp((expected - target) / (kLatenessSpread * target)));
  return kLateAnswerValue + (1 - kLateAnswerValue) * on_time;
}

// Whether an upstream itself asked for the block.
bool IsOwnRequest(SendBlock block) {
  return block == SendBlock::kLeaving || block == SendBlock::kBackoff ||
         block == SendBlock::kRateShare;
}

// If the limit of an upstream is due for a probe, keeps only that upstream as a
// candidate. Otherwise it might rarely be chosen, as few hosts send to a
// limited upstream and few of their keys may belong to it. Only first attempts
// of repeatable requests are used as probes.
void KeepOnlyProbeTarget(std::vector<Candidate>& candidates,
                         const PickRequest& request,
                         Time now) {
  const auto to_probe = std::find_if(
      candidates.begin(), candidates.end(), [now](const Candidate& candidate) {
        const UpstreamState& upstream = *candidate.upstream;
        return upstream.limit.ShouldProbe(now) &&
               upstream.load.ExpectedRequests(now) + 1 <= upstream.info.slots;
      });
  if (to_probe != candidates.end() && request.route->repeatable &&
      request.excluded.empty()) {
    candidates = {Candidate(*to_probe)};
  }
}

}  // namespace

UpstreamPicker::UpstreamPicker(const PickerSettings& settings,
                               UpstreamTable& table)
    : settings_(settings),
      table_(table),
      admission_(settings.policy),
      shifts_(settings.region),
      links_(settings.link_limits) {}

RequestProfile& UpstreamPicker::ProfileOf(const Route& route) {
  const bool learns = settings_.policy.IsEnabled(Mechanism::kLearnedWarmth);
  return profiles_.try_emplace(route.name, route.target_latency, learns)
      .first->second;
}

Duration UpstreamPicker::RoundTrip(const UpstreamState& upstream) const {
  const auto found = latencies_.find(upstream.info.domain);
  return found == latencies_.end() ? kInitialRoundTrip : found->second.value();
}

double UpstreamPicker::CarryingCost(const UpstreamState& upstream,
                                    double bytes) const {
  if (upstream.info.domain == settings_.domain ||
      !settings_.policy.IsEnabled(Mechanism::kCarryingCost)) {
    return 0;
  }
  const double cost_per_gigabyte =
      upstream.region == settings_.region
          ? settings_.cross_domain_cost_per_gigabyte
          : settings_.cross_region_cost_per_gigabyte;
  return bytes / kBytesPerGigabyte * cost_per_gigabyte;
}

std::vector<Candidate> UpstreamPicker::Candidates(
    const PickRequest& request,
    std::vector<UpstreamPtr>& passed_over,
    Time now) const {
  std::vector<Candidate> candidates;
  for (const UpstreamPtr& upstream : table_.ForService(request.service)) {
    const bool reachable = upstream->region == settings_.region ||
                           links_.HasCapacity(upstream->region);
    if (!request.MayRunIn(upstream->region) || !reachable ||
        !upstream->health.MayTry(now) ||
        request.excluded.contains(upstream->info.id)) {
      continue;
    }
    const SendBlock block = table_.BlockOf(*upstream, {}, now);
    if (IsOwnRequest(block)) {
      passed_over.push_back(upstream);
    }
    if (block != SendBlock::kNone) {
      continue;
    }
    Candidate candidate;
    candidate.upstream = upstream;
    candidates.push_back(std::move(candidate));
  }
  if (request.versions) {
    FilterByVersion(candidates, *request.versions);
  }
  return candidates;
}

void UpstreamPicker::KeepOnlyRegion(std::vector<Candidate>& candidates,
                                    const std::string& region) const {
  std::erase_if(candidates, [&region](const Candidate& candidate) {
    return candidate.upstream->region != region;
  });
}

// Large answers stay in their region if it has an upstream: the transfer of a
// large answer between regions costs more than the answer's value.
void UpstreamPicker::KeepLargeAnswersLocal(std::vector<Candidate>& candidates,
                                           const PickRequest& request) {
  const bool has_local = std::any_of(
      candidates.begin(), candidates.end(), [this](const Candidate& c) {
        return c.upstream->region == settings_.region;
      });
  if (has_local &&
      ProfileOf(*request.route).answer_bytes >= kLargeAnswerBytes) {
    KeepOnlyRegion(candidates, settings_.region);
  }
}

// While a shift moves traffic away from this region, a request leaves it only
// if the shift moves the request or the region has no upstream for the request.
PickFailure UpstreamPicker::ApplyShift(std::vector<Candidate>& candidates,
                                       const PickRequest& request) {
  ShiftControl* shift = shifts_.Find(request.service);
  if (shift == nullptr) {
    return PickFailure::kNone;
  }
  if (request.excluded.empty()) {
    shift->OnOffered();
  }
  const auto has_region = [&candidates](const std::string& region) {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&region](const Candidate& candidate) {
                         return candidate.upstream->region == region;
                       });
  };
  const std::string& target = shift->plan().to_region;
  const bool should_move = shift->ShouldMove(request.shift_position) &&
                           has_region(target) && shift->TryMove();
  if (should_move) {
    KeepOnlyRegion(candidates, target);
  } else if (has_region(settings_.region)) {
    KeepOnlyRegion(candidates, settings_.region);
  } else if (!shift->TryMove()) {
    return PickFailure::kShiftCap;
  }
  return PickFailure::kNone;
}

void UpstreamPicker::EstimateWarmth(std::vector<Candidate>& candidates,
                                    const PickRequest& request) {
  const WarmthModel& warmth = ProfileOf(*request.route).warmth;
  for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
    Candidate& candidate = candidates[rank];
    // Requests without an affinity key run equally fast on all upstreams.
    const bool sent_recently =
        !request.sticky || candidate.upstream->keys.Contains(request.key);
    candidate.warmth_evidence = {sent_recently, request.sticky ? rank : 0};
    candidate.warm_probability = warmth.Probability(candidate.warmth_evidence);
  }
}

UpstreamPicker::ScoredPick UpstreamPicker::Score(const Candidate& candidate,
                                                 const PickRequest& request,
                                                 Time now) {
  const UpstreamState& upstream = *candidate.upstream;
  const RequestProfile& profile = ProfileOf(*request.route);
  const double warm = Seconds(profile.warmth.RunTime(true));
  const double cold = Seconds(profile.warmth.RunTime(false));
  const double run = (warm * candidate.warm_probability +
                      cold * (1 - candidate.warm_probability)) *
                     upstream.slowness.Value(now);
  const double slots = std::max(1, upstream.info.slots);
  const auto wait_behind = [slots, run](double requests) {
    return std::max(0.0, requests + 1 - slots) / slots * run;
  };
  // The score uses the reports of each upstream alone; the wait that decides on
  // admission includes the average over other upstreams.
  const double reported_wait =
      wait_behind(upstream.load.ExpectedFromReports(now));
  const double wait = wait_behind(upstream.load.ExpectedRequests(now));
  const double round_trip = Seconds(RoundTrip(upstream));
  ScoredPick scored;
  scored.pick.upstream = candidate.upstream;
  scored.pick.expected_latency = FromSeconds(round_trip + wait + run);
  scored.pick.expected_wait = FromSeconds(wait);
  scored.pick.expected_latency_if_cold = FromSeconds(round_trip + wait + cold);
  scored.pick.warm = candidate.warm_probability >= kWarmThreshold;
  scored.pick.warmth_evidence = candidate.warmth_evidence;
  scored.pick.leaves_region = upstream.region != settings_.region;
  const double success_probability = 1 - upstream.errors.Value(now);
  scored.score =
      AnswerValue(round_trip + reported_wait + run,
                  Seconds(request.route->target_latency)) *
          success_probability -
      CarryingCost(upstream, profile.answer_bytes) -
      (run + reported_wait) * kSlotSecondCost -
      kRankCost * static_cast<double>(
                      std::min(candidate.warmth_evidence.rank, kMaxPricedRank));
  return scored;
}

Pick UpstreamPicker::MakeRefusal(PickFailure failure,
                                 const PickRequest& request,
                                 Time now) {
  Pick refusal;
  refusal.failure = failure;
  refusal.retry_after = RetryDelay(request, refusal, now);
  return refusal;
}

Duration UpstreamPicker::RetryDelay(const PickRequest& request,
                                    const Pick& next,
                                    Time now) {
  const RequestProfile& profile = ProfileOf(*request.route);
  if (next.upstream) {
    return admission_.RetryDelayForQueue(next, request, profile, now);
  }
  std::vector<UpstreamPtr> open;
  for (const UpstreamPtr& upstream : table_.ForService(request.service)) {
    if (request.MayRunIn(upstream->region) && table_.IsOpen(*upstream)) {
      open.push_back(upstream);
    }
  }
  return admission_.RetryDelayForAny(open, HostShare(), request, profile, now);
}

double UpstreamPicker::HostShare() const {
  int hosts = 0;
  for (const auto& [region, count] : host_counts_) {
    hosts += count;
  }
  return 1.0 / std::max(1, hosts);
}

Pick UpstreamPicker::Choose(const PickRequest& request, Time now) {
  std::vector<UpstreamPtr> passed_over;
  std::vector<Candidate> candidates = Candidates(request, passed_over, now);
  for (const UpstreamPtr& upstream : passed_over) {
    ++upstream->passed_over;
  }
  if (candidates.empty()) {
    Pick refused = MakeRefusal(PickFailure::kNoUpstream, request, now);
    refused.passed_over = static_cast<int>(passed_over.size());
    return refused;
  }
  KeepLargeAnswersLocal(candidates, request);
  const PickFailure shift_failure = ApplyShift(candidates, request);
  if (shift_failure != PickFailure::kNone) {
    return MakeRefusal(shift_failure, request, now);
  }
  KeepOnlyProbeTarget(candidates, request, now);
  const RegionShares& shares = SharesOf(request.service, now);
  // Hosts know the loads only as of each upstream's last answer to them.
  // Without a key, all hosts of a region would choose the same upstreams, and a
  // region with few upstreams would be full while others have room. The key of
  // such a request is a hash of its id, so in uneven regions this spreads the
  // requests by the regions' shares.
  const bool is_placed = request.sticky || shares.IsUneven();
  if (is_placed && settings_.policy.IsEnabled(Mechanism::kKeyPlacement)) {
    KeepNearestToKey(candidates, request.key, shares);
  } else if (request.sticky) {
    RankByKey(candidates, request.key, shares);
  }
  EstimateWarmth(candidates, request);
  ScoredPick best;
  for (const Candidate& candidate : candidates) {
    ScoredPick scored = Score(candidate, request, now);
    if (!best.pick.upstream || scored.score > best.score) {
      best = std::move(scored);
    }
  }
  best.pick.candidates = static_cast<int>(candidates.size());
  best.pick.passed_over = static_cast<int>(passed_over.size());
  if (request.excluded.empty()) {
    pinned_capacity_.OnPlaced(
        request.service, best.pick.expected_latency - best.pick.expected_wait);
  }
  RequestProfile& profile = ProfileOf(*request.route);
  // Refuses requests that are too late by the queue alone; the run time is only
  // an estimate.
  if (RoundTrip(*best.pick.upstream) + best.pick.expected_wait >
      request.time_left) {
    best.pick.failure = PickFailure::kTooLate;
  } else if (!admission_.TryAdmit(best.pick, request, profile, now)) {
    best.pick.failure = PickFailure::kOverloaded;
  }
  if (best.pick.failure != PickFailure::kNone) {
    best.pick.retry_after =
        admission_.RetryDelayForQueue(best.pick, request, profile, now);
    best.pick.upstream = nullptr;
  }
  return best.pick;
}

ShiftTargetState UpstreamPicker::TargetStateOf(const std::string& service,
                                               const std::string& region,
                                               Time now) const {
  double slots = 0;
  double used = 0;
  Duration round_trip{0};
  for (const UpstreamPtr& upstream : table_.ForService(service)) {
    if (upstream->region == region && table_.IsOpen(*upstream) &&
        !upstream->health.IsSuspect()) {
      slots +=
          upstream->UsableSlots(pinned_capacity_.RunSecondsOf(service), now);
      used += upstream->load.ExpectedRequests(now);
      round_trip = std::max(round_trip, RoundTrip(*upstream));
    }
  }
  ShiftTargetState state;
  state.age = slots > 0 ? Duration::zero() : Duration::max();
  state.headroom = slots > 0 ? std::max(0.0, 1 - used / slots) : 0;
  state.latency = round_trip;
  return state;
}

void UpstreamPicker::OnConnected(const UpstreamState& upstream,
                                 Duration round_trip) {
  latencies_.try_emplace(upstream.info.domain, round_trip)
      .first->second.Add(round_trip);
}

void UpstreamPicker::OnNoAnswer(UpstreamState& upstream,
                                const Pick& pick,
                                Duration waited,
                                Time now) {
  if (settings_.policy.IsEnabled(Mechanism::kSlowness)) {
    const double usual_latency =
        Seconds(pick.expected_latency) / upstream.slowness.Value(now);
    upstream.slowness.OnNoAnswer(Seconds(waited) / usual_latency, now);
  }
}

void UpstreamPicker::OnOutcome(UpstreamState& upstream,
                               bool is_error,
                               Time now) {
  if (settings_.policy.IsEnabled(Mechanism::kErrorShare)) {
    upstream.errors.OnAnswer(is_error, now);
  }
}

void UpstreamPicker::OnAnswer(UpstreamState& upstream,
                              const PickRequest& request,
                              const Pick& pick,
                              const AnswerMeasurements& measurements,
                              Time now) {
  RequestProfile& profile = ProfileOf(*request.route);
  profile.answer_bytes +=
      (static_cast<double>(measurements.bytes) - profile.answer_bytes) *
      kAnswerBytesWeight;
  upstream.keys.Touch(request.key);
  // Run times are learned only from requests that did not wait: queueing time
  // would make an overloaded upstream look slow.
  if (measurements.queued || pick.expected_wait > Duration::zero()) {
    return;
  }
  const Duration run =
      std::max(Duration(1'000), measurements.took - RoundTrip(upstream));
  const Duration usual_run =
      FromSeconds(Seconds(run) / upstream.slowness.Value(now));
  WarmthModel& warmth = profile.warmth;
  const bool warm = upstream.IsRateBounded(now)
                        ? warmth.IsWarmRun(usual_run)
                        : warmth.OnRun(pick.warmth_evidence, usual_run);
  if (!settings_.policy.IsEnabled(Mechanism::kSlowness)) {
    return;
  }
  upstream.slowness.OnRun(Seconds(run) / Seconds(warmth.RunTime(warm)), now);
}

}  // namespace pathcleat
