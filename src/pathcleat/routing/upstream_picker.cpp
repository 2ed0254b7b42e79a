// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_picker.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "pathcleat/core/hash.hpp"

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
// Chance that the best and second ranked upstream is quick at a key which
// this host has not sent there itself: others rank them alike.
constexpr double kFirstRankWarmth = 0.6;
constexpr double kSecondRankWarmth = 0.25;
constexpr double kKnownWarmth = 0.95;
constexpr double kWarmEnough = 0.5;
constexpr std::size_t kUpstreamsOfKey = 3;
constexpr Duration kFirstRoundTrip{2'000};
constexpr double kSlownessWeight = 0.1;
constexpr double kLeastSlowness = 0.8;
constexpr double kMostSlowness = 8;
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

}  // namespace

const char* ReasonOf(PickFailure failure) {
  switch (failure) {
    case PickFailure::kNone:
      return "none";
    case PickFailure::kNoUpstream:
      return "no_upstream";
    case PickFailure::kTooLate:
      return "too_late";
    case PickFailure::kOverloaded:
      return "overloaded";
    case PickFailure::kShiftCap:
      return "shift_cap";
  }
  return "none";
}

UpstreamPicker::UpstreamPicker(const PickerSettings& settings,
                               UpstreamTable& table)
    : settings_(settings),
      table_(table),
      shifts_(settings.region),
      links_(settings.link_limits) {}

RequestProfile& UpstreamPicker::ProfileOf(const Route& route) {
  return profiles_.try_emplace(route.name, route.target_latency).first->second;
}

Duration UpstreamPicker::RoundTrip(const UpstreamState& upstream) const {
  const auto found = latencies_.find(upstream.info.domain);
  return found == latencies_.end() ? kFirstRoundTrip : found->second.value();
}

double UpstreamPicker::CarryingCost(const UpstreamState& upstream,
                                    double bytes) const {
  if (upstream.info.domain == settings_.domain) {
    return 0;
  }
  const double gigabyte = upstream.region == settings_.region
                              ? settings_.domain_gigabyte_cost
                              : settings_.region_gigabyte_cost;
  return bytes / kBytesInGigabyte * gigabyte;
}

std::vector<UpstreamPicker::Candidate> UpstreamPicker::Candidates(
    const PickRequest& request,
    Time now) const {
  std::vector<Candidate> candidates;
  const auto& homes = request.route->home_regions;
  for (const UpstreamPtr& upstream : table_.Of(request.service)) {
    const bool is_home =
        homes.empty() ||
        std::find(homes.begin(), homes.end(), upstream->region) != homes.end();
    const bool reachable = upstream->region == settings_.region ||
                           links_.HasRoom(upstream->region);
    const bool bears =
        !upstream->IsCold(now) || upstream->cold_share.CanTake(now);
    if (is_home && reachable && bears && table_.IsOpen(*upstream) &&
        upstream->health.MayTry(now) &&
        !request.excluded.contains(upstream->info.id)) {
      candidates.push_back(
          {upstream, MixHashes(request.key, upstream->hash), 0});
    }
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
  ShiftGate* gate = shifts_.Find(request.service);
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
  const std::string& target = gate->plan().to;
  const bool moves = gate->WantsMove(request.caller_position) &&
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

// A key stays with its few best ranked upstreams, also under overload: spread
// over all it would be cold everywhere, and overload would feed on itself.
void UpstreamPicker::KeepKeyNear(std::vector<Candidate>& candidates,
                                 const PickRequest& request) {
  if (!request.sticky || candidates.size() <= kUpstreamsOfKey) {
    return;
  }
  std::nth_element(
      candidates.begin(), candidates.begin() + kUpstreamsOfKey - 1,
      candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  candidates.resize(kUpstreamsOfKey);
}

void UpstreamPicker::EstimateWarmth(std::vector<Candidate>& candidates,
                                    const PickRequest& request) {
  if (!request.sticky) {
    return;
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  constexpr std::array<double, 2> kRankWarmth = {kFirstRankWarmth,
                                                 kSecondRankWarmth};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].upstream->keys.Contains(request.key)) {
      candidates[i].warmth = kKnownWarmth;
    } else if (i < kRankWarmth.size()) {
      candidates[i].warmth = kRankWarmth.at(i);
    }
  }
}

UpstreamPicker::Scored UpstreamPicker::Score(const Candidate& candidate,
                                             const PickRequest& request,
                                             Time now) {
  const UpstreamState& upstream = *candidate.upstream;
  const RequestProfile& profile = ProfileOf(*request.route);
  const double warm = Seconds(profile.warm_run.value());
  const double cold = Seconds(profile.cold_run.value());
  const double run = (warm * candidate.warmth + cold * (1 - candidate.warmth)) *
                     upstream.slowness;
  const double slots = std::max(1, upstream.info.slots);
  const double ahead = std::max(0.0, upstream.load.Expected(now) + 1 - slots);
  const double wait = ahead / slots * run;
  const double round_trip = Seconds(RoundTrip(upstream));
  const double expected = round_trip + wait + run;
  Scored scored;
  scored.pick.upstream = candidate.upstream;
  scored.pick.expected = FromSeconds(expected);
  scored.pick.wait = FromSeconds(wait);
  scored.pick.warm = candidate.warmth >= kWarmEnough;
  scored.pick.left_region = upstream.region != settings_.region;
  scored.worth = WorthAt(expected, Seconds(request.route->target_latency)) -
                 CarryingCost(upstream, profile.answer_bytes) -
                 (run + wait) * kSlotSecondCost;
  return scored;
}

// Callers send the time that they have left: a request which comes back
// after a refusal has less than the longest known.
bool UpstreamPicker::IsFirstTry(const PickRequest& request) {
  Duration& longest = ProfileOf(*request.route).longest_deadline;
  longest = std::max(longest, request.caller_deadline);
  constexpr double kNearlyWhole = 0.97;
  return request.excluded.empty() &&
         Seconds(request.caller_deadline) >= Seconds(longest) * kNearlyWhole;
}

// A request that would be late for its waiting alone takes a slot from one
// that would not. It is refused at once, while there is time to come back.
// One that has come back is sent all the same, unless the queue stands: then
// it would stand for ever, with everything in it late.
void UpstreamPicker::RefuseIfLate(Pick& pick,
                                  const PickRequest& request,
                                  Time now) {
  const Duration target = request.route->target_latency;
  const Duration run = pick.expected - pick.wait;
  const Duration spare = std::max(target - run, target / 4);
  const bool first_try = IsFirstTry(request);
  StandingQueue& queue = pick.upstream->queue;
  if (pick.wait <= spare) {
    queue.OnShort();
    return;
  }
  queue.OnLong(now);
  const bool stands = queue.IsStanding(now) && request.excluded.empty();
  if (!first_try && !stands) {
    return;
  }
  pick.failure = PickFailure::kOverloaded;
  pick.retry_after =
      std::clamp(pick.wait, Duration(100'000), request.time_left / 4);
  pick.upstream = nullptr;
}

Pick UpstreamPicker::Choose(const PickRequest& request, Time now) {
  std::vector<Candidate> candidates = Candidates(request, now);
  if (candidates.empty()) {
    Pick none;
    none.failure = PickFailure::kNoUpstream;
    return none;
  }
  KeepLargeNear(candidates, request);
  const PickFailure held = PassShift(candidates, request);
  if (held != PickFailure::kNone) {
    Pick none;
    none.failure = held;
    return none;
  }
  KeepKeyNear(candidates, request);
  EstimateWarmth(candidates, request);
  Scored best;
  for (const Candidate& candidate : candidates) {
    Scored scored = Score(candidate, request, now);
    if (!best.pick.upstream || scored.worth > best.worth) {
      best = std::move(scored);
    }
  }
  best.pick.candidates = static_cast<int>(candidates.size());
  // What a queue alone makes hopeless; a run time is only guessed.
  if (RoundTrip(*best.pick.upstream) + best.pick.wait > request.time_left) {
    best.pick.upstream = nullptr;
    best.pick.failure = PickFailure::kTooLate;
    return best.pick;
  }
  RefuseIfLate(best.pick, request, now);
  return best.pick;
}

std::vector<Pick> UpstreamPicker::Explain(const PickRequest& request,
                                          Time now) {
  std::vector<Candidate> candidates = Candidates(request, now);
  EstimateWarmth(candidates, request);
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scored.push_back(Score(candidate, request, now));
  }
  std::stable_sort(
      scored.begin(), scored.end(),
      [](const Scored& a, const Scored& b) { return a.worth > b.worth; });
  std::vector<Pick> picks;
  picks.reserve(scored.size());
  for (Scored& one : scored) {
    picks.push_back(std::move(one.pick));
  }
  return picks;
}

TargetState UpstreamPicker::StateOf(const std::string& service,
                                    const std::string& region,
                                    Time now) const {
  double slots = 0;
  double used = 0;
  Duration round_trip{0};
  for (const UpstreamPtr& upstream : table_.Of(service)) {
    if (upstream->region == region && table_.IsOpen(*upstream) &&
        !upstream->health.IsSuspect()) {
      slots += upstream->info.slots;
      used += upstream->load.Expected(now);
      round_trip = std::max(round_trip, RoundTrip(*upstream));
    }
  }
  TargetState state;
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

void UpstreamPicker::OnAnswer(UpstreamState& upstream,
                              const PickRequest& request,
                              const Pick& pick,
                              const AnswerFacts& facts,
                              Time now) {
  RequestProfile& profile = ProfileOf(*request.route);
  profile.answer_bytes +=
      (static_cast<double>(facts.bytes) - profile.answer_bytes) * kBytesWeight;
  const bool warm = upstream.keys.Contains(request.key);
  upstream.keys.Touch(request.key);
  // A run time is learnt where nothing waited: what a queue adds is not the
  // run's, and would make overload look like slow work.
  if (facts.queued || pick.wait > Duration::zero()) {
    return;
  }
  const Duration run =
      std::max(Duration(1'000), facts.took - RoundTrip(upstream));
  LatencyEstimate& estimate = warm ? profile.warm_run : profile.cold_run;
  const double ratio = Seconds(run) / Seconds(estimate.value());
  upstream.slowness += (ratio - upstream.slowness) * kSlownessWeight;
  upstream.slowness =
      std::clamp(upstream.slowness, kLeastSlowness, kMostSlowness);
  if (!upstream.IsCold(now)) {
    estimate.Add(run);
  }
}

}  // namespace pathcleat
