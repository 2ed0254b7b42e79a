// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_picker.hpp"

#include <algorithm>
#include <cmath>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/version_filter.hpp"

namespace pathcleat {
namespace {

constexpr double kBytesInGigabyte = 1e9;
// Worth of an answer that comes after its target latency.
constexpr double kLateWorth = 0.2;
// How sharply the worth falls around the target latency, as a share of it.
constexpr double kSpread = 0.15;
// Cost of one second of an upstream's slot, in worths of one answer.
constexpr double kSlotSecondCost = 0.3;
// Answers at least this large stay in their region while it has an upstream.
constexpr double kLargeAnswerBytes = 32'768;
constexpr double kWarmEnough = 0.5;
// A key leaves its nearest upstream only for an answer worth this much more,
// a rank: whoever leaves for less makes the key known in more places than it
// needs, and fills the region that is short of room. Twice as much measured
// the same (docs/DECISIONS.md, rounds).
constexpr double kRankCost = 0.08;
// Ranks beyond those of a key's few upstreams cost no more than the last.
constexpr std::size_t kRanksPriced = 2;
constexpr Duration kFirstRoundTrip{2'000};
constexpr double kBytesWeight = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(seconds * kMicros));
}

double WorthAt(double expected, double target) {
  const double on_time =
      1 / (1 + std::exp((expected - target) / (kSpread * target)));
  return kLateWorth + (1 - kLateWorth) * on_time;
}

// Few hosts send to a limited upstream, and their keys may seldom lead there.
void KeepToBeAsked(std::vector<Candidate>& candidates,
                   const PickRequest& request,
                   Time now) {
  const auto asked = std::find_if(
      candidates.begin(), candidates.end(), [now](const Candidate& candidate) {
        const UpstreamState& upstream = *candidate.upstream;
        return upstream.limit.ShouldProbe(now) &&
               upstream.load.ExpectedRequests(now) + 1 <= upstream.info.slots;
      });
  if (asked != candidates.end() && request.route->repeatable &&
      request.excluded.empty()) {
    candidates = {Candidate(*asked)};
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
  return found == latencies_.end() ? kFirstRoundTrip : found->second.value();
}

double UpstreamPicker::CarryingCost(const UpstreamState& upstream,
                                    double bytes) const {
  if (upstream.info.domain == settings_.domain ||
      !settings_.policy.IsEnabled(Mechanism::kCarryingCost)) {
    return 0;
  }
  const double gigabyte = upstream.region == settings_.region
                              ? settings_.cross_domain_cost_per_gigabyte
                              : settings_.cross_region_cost_per_gigabyte;
  return bytes / kBytesInGigabyte * gigabyte;
}

std::vector<Candidate> UpstreamPicker::Candidates(
    const PickRequest& request,
    std::vector<UpstreamPtr>& passed_over,
    Time now) const {
  std::vector<Candidate> candidates;
  for (const UpstreamPtr& upstream : table_.ForService(request.service)) {
    const bool reachable = upstream->region == settings_.region ||
                           links_.HasCapacity(upstream->region);
    if (now < upstream->open_from || !request.MayRunIn(upstream->region) ||
        !reachable || !table_.IsOpen(*upstream) ||
        !upstream->health.MayTry(now) ||
        request.excluded.contains(upstream->info.id)) {
      continue;
    }
    if (upstream->IsRateBounded(now) && !upstream->rate_share.CanAcquire(now)) {
      passed_over.push_back(upstream);
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

void UpstreamPicker::KeepRegion(std::vector<Candidate>& candidates,
                                const std::string& region) const {
  std::erase_if(candidates, [&region](const Candidate& candidate) {
    return candidate.upstream->region != region;
  });
}

// Large answers stay in their region while it has an upstream: carrying one
// between regions costs more than it is worth.
void UpstreamPicker::KeepLargeNear(std::vector<Candidate>& candidates,
                                   const PickRequest& request) {
  const bool near = std::any_of(candidates.begin(), candidates.end(),
                                [this](const Candidate& c) {
                                  return c.upstream->region == settings_.region;
                                });
  if (near && ProfileOf(*request.route).answer_bytes >= kLargeAnswerBytes) {
    KeepRegion(candidates, settings_.region);
  }
}

// While a shift leads away from this region, requests leave it by the shift's
// gate alone: those that it moves, and what the region cannot serve at all.
PickFailure UpstreamPicker::PassShift(std::vector<Candidate>& candidates,
                                      const PickRequest& request) {
  ShiftControl* gate = shifts_.Find(request.service);
  if (gate == nullptr) {
    return PickFailure::kNone;
  }
  if (request.excluded.empty()) {
    gate->OnOffered();
  }
  const auto has_region = [&candidates](const std::string& region) {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&region](const Candidate& candidate) {
                         return candidate.upstream->region == region;
                       });
  };
  const std::string& target = gate->plan().to_region;
  const bool moves = gate->ShouldMove(request.shift_position) &&
                     has_region(target) && gate->TryMove();
  if (moves) {
    KeepRegion(candidates, target);
  } else if (has_region(settings_.region)) {
    KeepRegion(candidates, settings_.region);
  } else if (!gate->TryMove()) {
    return PickFailure::kShiftCap;
  }
  return PickFailure::kNone;
}

void UpstreamPicker::EstimateWarmth(std::vector<Candidate>& candidates,
                                    const PickRequest& request) {
  const WarmthModel& warmth = ProfileOf(*request.route).warmth;
  for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
    Candidate& candidate = candidates[rank];
    // Work without a key takes as long wherever it runs.
    const bool sent =
        !request.sticky || candidate.upstream->keys.Contains(request.key);
    candidate.warmth_evidence = {sent, request.sticky ? rank : 0};
    candidate.warm_probability = warmth.Probability(candidate.warmth_evidence);
  }
}

UpstreamPicker::Scored UpstreamPicker::Score(const Candidate& candidate,
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
  // The choice goes by what each upstream told; whether the chosen one is
  // worth waiting for, by what is usual at others as well.
  const double told = wait_behind(upstream.load.ExpectedFromReports(now));
  const double wait = wait_behind(upstream.load.ExpectedRequests(now));
  const double round_trip = Seconds(RoundTrip(upstream));
  Scored scored;
  scored.pick.upstream = candidate.upstream;
  scored.pick.expected_latency = FromSeconds(round_trip + wait + run);
  scored.pick.expected_wait = FromSeconds(wait);
  scored.pick.expected_latency_if_cold = FromSeconds(round_trip + wait + cold);
  scored.pick.warm = candidate.warm_probability >= kWarmEnough;
  scored.pick.warmth_evidence = candidate.warmth_evidence;
  scored.pick.leaves_region = upstream.region != settings_.region;
  scored.worth =
      WorthAt(round_trip + told + run, Seconds(request.route->target_latency)) -
      CarryingCost(upstream, profile.answer_bytes) -
      (run + told) * kSlotSecondCost -
      kRankCost * static_cast<double>(
                      std::min(candidate.warmth_evidence.rank, kRanksPriced));
  return scored;
}

Pick UpstreamPicker::Refused(PickFailure failure,
                             const PickRequest& request,
                             Time now) {
  Pick none;
  none.failure = failure;
  none.retry_after = RetryDelay(request, none, now);
  return none;
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
  return admission_.RetryDelayForAny(open, request, profile, now);
}

Pick UpstreamPicker::Choose(const PickRequest& request, Time now) {
  std::vector<UpstreamPtr> passed_over;
  std::vector<Candidate> candidates = Candidates(request, passed_over, now);
  for (const UpstreamPtr& upstream : passed_over) {
    ++upstream->passed_over;
  }
  if (candidates.empty()) {
    Pick refused = Refused(PickFailure::kNoUpstream, request, now);
    refused.passed_over = static_cast<int>(passed_over.size());
    return refused;
  }
  KeepLargeNear(candidates, request);
  const PickFailure held = PassShift(candidates, request);
  if (held != PickFailure::kNone) {
    return Refused(held, request, now);
  }
  KeepToBeAsked(candidates, request, now);
  const RegionShares& shares = SharesOf(request.service, now);
  if (request.sticky && settings_.policy.IsEnabled(Mechanism::kKeyPlacement)) {
    KeepNearestToKey(candidates, request.key, shares);
  } else if (request.sticky) {
    RankByKey(candidates, request.key, shares);
  }
  EstimateWarmth(candidates, request);
  Scored best;
  for (const Candidate& candidate : candidates) {
    Scored scored = Score(candidate, request, now);
    if (!best.pick.upstream || scored.worth > best.worth) {
      best = std::move(scored);
    }
  }
  best.pick.candidates = static_cast<int>(candidates.size());
  best.pick.passed_over = static_cast<int>(passed_over.size());
  if (request.excluded.empty()) {
    bound_.OnPlaced(request.service,
                    best.pick.expected_latency - best.pick.expected_wait);
  }
  RequestProfile& profile = ProfileOf(*request.route);
  // What a queue alone makes hopeless; a run time is only guessed.
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
      slots += upstream->UsableSlots(bound_.RunSecondsOf(service), now);
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
    const double usual =
        Seconds(pick.expected_latency) / upstream.slowness.Value(now);
    upstream.slowness.OnNoAnswer(Seconds(waited) / usual, now);
  }
}

void UpstreamPicker::OnAnswer(UpstreamState& upstream,
                              const PickRequest& request,
                              const Pick& pick,
                              const AnswerMeasurements& facts,
                              Time now) {
  RequestProfile& profile = ProfileOf(*request.route);
  profile.answer_bytes +=
      (static_cast<double>(facts.bytes) - profile.answer_bytes) * kBytesWeight;
  upstream.keys.Touch(request.key);
  // A run time is learnt where nothing waited: what a queue adds is not the
  // run's, and would make overload look like slow work.
  if (facts.queued || pick.expected_wait > Duration::zero()) {
    return;
  }
  const Duration run =
      std::max(Duration(1'000), facts.took - RoundTrip(upstream));
  const Duration usual =
      FromSeconds(Seconds(run) / upstream.slowness.Value(now));
  WarmthModel& warmth = profile.warmth;
  const bool quick = upstream.IsRateBounded(now)
                         ? warmth.IsWarmRun(usual)
                         : warmth.OnRun(pick.warmth_evidence, usual);
  if (!settings_.policy.IsEnabled(Mechanism::kSlowness)) {
    return;
  }
  upstream.slowness.OnRun(Seconds(run) / Seconds(warmth.RunTime(quick)), now);
}

}  // namespace pathcleat
