// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/route_service.hpp"

#include <algorithm>
#include <mutex>

#include "pathcleat/host/link_shares.hpp"

namespace pathcleat {
namespace {

// Retries allowed a first attempt, and the most that can be saved up.
constexpr double kRetryShare = 0.2;
constexpr double kRetryBurst = 20;
constexpr Duration kRetryAfterNoCapacity{1'000'000};

}  // namespace

RouteService::RouteService(const HostSettings& settings,
                           ConfigService& config,
                           MemberService& members,
                           OwnerService& owner,
                           EventLog& events)
    : settings_(settings),
      config_(config),
      members_(members),
      owner_(owner),
      events_(events),
      link_share_(ShareLinks(settings)),
      retries_(kRetryShare, kRetryBurst),
      random_(settings.seat.value) {}

RegionIndex RouteService::RegionOf(const RouteCandidate& candidate) const {
  return settings_.deployment.RegionOf(
      DomainIndex{static_cast<std::uint16_t>(candidate.target)});
}

void RouteService::OnDomainReport(const DomainSummary& summary, Time observed) {
  const std::lock_guard lock(mutex_);
  for (const ServiceLoad& load : summary.loads) {
    domain_views_.OnReport(summary.domain.value, load.service, ToPoolLoad(load),
                           observed);
  }
}

void RouteService::OnOwnerReport(SeatIndex seat,
                                 const std::vector<ServiceLoad>& loads,
                                 Time observed) {
  const std::lock_guard lock(mutex_);
  for (const ServiceLoad& load : loads) {
    owner_views_.OnReport(seat.value, load.service, ToPoolLoad(load), observed);
  }
}

RouteService::Candidates RouteService::OwnerCandidates(
    ServiceIndex service) const {
  const Time now = BootClock::now();
  Candidates candidates;
  const PoolLoad own = owner_.Load(service);
  if (own.slots > 0) {
    candidates.push_back(
        {settings_.seat.value, Duration::zero(), PoolView{own, now, 0, 0}});
  }
  const auto siblings = members_.Siblings(now);
  const std::lock_guard lock(mutex_);
  for (const SiblingState& sibling : siblings) {
    const bool offers = std::any_of(
        sibling.loads.begin(), sibling.loads.end(),
        [service](const ServiceLoad& load) { return load.service == service; });
    const PoolView* view = owner_views_.Find(sibling.seat.value, service);
    if (sibling.alive && offers && view != nullptr) {
      candidates.push_back(
          {sibling.seat.value, settings_.deployment.latency_in_domain, *view});
    }
  }
  return candidates;
}

RouteCandidate RouteService::OwnDomainCandidate(ServiceIndex service) const {
  RouteCandidate sum;
  sum.target = settings_.self().domain.value;
  sum.view.observed = BootClock::now();
  std::int64_t weighted_latency = 0;
  for (const RouteCandidate& owner : OwnerCandidates(service)) {
    const PoolView& view = owner.view;
    PoolLoad& load = sum.view.load;
    load.slots += view.load.slots;
    load.free += view.load.free;
    load.waiting += view.load.waiting;
    weighted_latency += view.load.latency.count() * view.load.slots;
    sum.view.sent_since += view.sent_since;
    sum.view.in_flight += view.in_flight;
  }
  if (sum.view.load.slots > 0) {
    sum.view.load.latency = Duration(weighted_latency / sum.view.load.slots);
  }
  return sum;
}

std::vector<RouteCandidate> RouteService::DomainCandidates(
    ServiceIndex service) const {
  const DomainIndex own = settings_.self().domain;
  Candidates candidates;
  const RouteCandidate own_domain = OwnDomainCandidate(service);
  if (own_domain.view.load.slots > 0) {
    candidates.push_back(own_domain);
  }
  const auto domains = members_.Domains();
  const std::lock_guard lock(mutex_);
  for (const DomainState& state : domains) {
    const DomainSummary& summary = state.summary;
    const PoolView* view = domain_views_.Find(summary.domain.value, service);
    const bool usable =
        view != nullptr && view->load.slots > 0 && !summary.contacts.empty();
    if (usable) {
      candidates.push_back({summary.domain.value,
                            settings_.deployment.Latency(own, summary.domain),
                            *view});
    }
  }
  return candidates;
}

RouteService::Candidates RouteService::UsableOf(
    const Candidates& all,
    const RouteRequest& request,
    const ConfigState& config) const {
  Candidates usable;
  for (const RouteCandidate& candidate : all) {
    const RegionIndex region = RegionOf(candidate);
    const DomainIndex domain{static_cast<std::uint16_t>(candidate.target)};
    if (!request.tried.contains(domain) &&
        !config.drained_regions.contains(region) && HasLinkRoom(region)) {
      usable.push_back(candidate);
    }
  }
  return usable;
}

RouteService::Candidates RouteService::InRegion(const Candidates& candidates,
                                                RegionIndex region) const {
  Candidates inside;
  for (const RouteCandidate& candidate : candidates) {
    if (RegionOf(candidate) == region) {
      inside.push_back(candidate);
    }
  }
  return inside;
}

bool RouteService::HasLinkRoom(RegionIndex to) const {
  const auto share = link_share_.find(to);
  if (share == link_share_.end()) {
    return true;
  }
  const auto used = link_in_flight_.find(to);
  return (used == link_in_flight_.end() ? 0 : used->second) < share->second;
}

RegionIndex RouteService::NaturalRegion(ServiceIndex service,
                                        const ConfigState& config) const {
  // The nearest region that has upstreams of the service by the settings:
  // a failure there does not lift a shift's cap.
  const Deployment& deployment = settings_.deployment;
  const DomainIndex own = settings_.self().domain;
  std::optional<RegionIndex> best;
  Duration best_latency{0};
  for (const Upstream& upstream : deployment.upstreams) {
    const RegionIndex region = deployment.RegionOf(upstream.domain);
    if (upstream.service != service ||
        config.drained_regions.contains(region)) {
      continue;
    }
    const Duration latency = region == deployment.RegionOf(own)
                                 ? Duration::zero()
                                 : deployment.Latency(own, upstream.domain);
    if (!best || latency < best_latency) {
      best = region;
      best_latency = latency;
    }
  }
  return best.value_or(deployment.RegionOf(own));
}

std::optional<RouteChoice> RouteService::Choose(const Candidates& candidates) {
  constexpr bool kExplain = true;
  return ChooseRoute(RoutePolicy::kExpectedTime, candidates, BootClock::now(),
                     random_, kExplain);
}

std::optional<RouteChoice> RouteService::ChooseUnderShift(
    ShiftGate& gate,
    RouteRequest& request,
    const Candidates& usable) {
  if (!request.offered) {
    gate.OnOffered();
    request.offered = true;
  }
  const Candidates at_target = InRegion(usable, gate.plan().to);
  const bool moves = !request.is_retry && !at_target.empty() &&
                     gate.WantsMove(request.caller_hash);
  if (moves && gate.TryMove()) {
    return Choose(at_target);
  }
  auto choice = Choose(usable);
  if (!choice) {
    return choice;
  }
  const RegionIndex region = settings_.deployment.RegionOf(
      DomainIndex{static_cast<std::uint16_t>(choice->target)});
  if (region == gate.plan().from || gate.TryMove()) {
    return choice;
  }
  return Choose(InRegion(usable, gate.plan().from));
}

std::variant<DomainRoute, Refusal> RouteService::ChooseDomain(
    RouteRequest& request) {
  const auto config = config_.state();
  const Candidates all = DomainCandidates(request.service);
  const RegionIndex natural = NaturalRegion(request.service, *config);
  std::optional<RouteChoice> choice;
  bool under_shift = false;
  {
    const std::lock_guard lock(mutex_);
    const Candidates usable = UsableOf(all, request, *config);
    const auto shift = shifts_.find({request.service, natural});
    under_shift = shift != shifts_.end();
    choice = under_shift ? ChooseUnderShift(shift->second, request, usable)
                         : Choose(usable);
    if (choice) {
      domain_views_.OnSent(choice->target, request.service);
      const DomainIndex domain{static_cast<std::uint16_t>(choice->target)};
      ++link_in_flight_[settings_.deployment.RegionOf(domain)];
    }
  }
  if (!choice) {
    const auto reason = under_shift && !all.empty()
                            ? RefusalReason::kShiftCap
                            : RefusalReason::kNoCapacity;
    return Refusal{reason, kRetryAfterNoCapacity};
  }
  return RouteTo(*choice);
}

DomainRoute RouteService::RouteTo(const RouteChoice& choice) const {
  DomainRoute route;
  route.domain = DomainIndex{static_cast<std::uint16_t>(choice.target)};
  route.reason = choice.reason;
  if (route.domain == settings_.self().domain) {
    return route;
  }
  const auto state = members_.Find(route.domain);
  const auto& contacts = state->summary.contacts;
  // Another contact each time, so that no one host carries all the relays.
  thread_local std::size_t turn = 0;
  route.contact = contacts[turn++ % contacts.size()];
  return route;
}

void RouteService::OnDomainDone(DomainIndex domain,
                                ServiceIndex service,
                                const ServiceLoad& load) {
  const std::lock_guard lock(mutex_);
  domain_views_.OnDone(domain.value, service);
  int& in_flight = link_in_flight_[settings_.deployment.RegionOf(domain)];
  in_flight = std::max(0, in_flight - 1);
  if (load.slots > 0 && domain != settings_.self().domain) {
    domain_views_.OnReport(domain.value, service, ToPoolLoad(load),
                           BootClock::now());
  }
}

std::optional<SeatIndex> RouteService::ChooseOwner(ServiceIndex service,
                                                   std::string& reason) {
  const Candidates candidates = OwnerCandidates(service);
  const std::lock_guard lock(mutex_);
  const auto choice = Choose(candidates);
  if (!choice) {
    return std::nullopt;
  }
  reason = choice->reason;
  owner_views_.OnSent(choice->target, service);
  return SeatIndex{static_cast<std::uint16_t>(choice->target)};
}

void RouteService::OnOwnerDone(SeatIndex owner,
                               ServiceIndex service,
                               const ServiceLoad& load) {
  const std::lock_guard lock(mutex_);
  owner_views_.OnDone(owner.value, service);
  if (load.slots > 0 && owner != settings_.seat) {
    owner_views_.OnReport(owner.value, service, ToPoolLoad(load),
                          BootClock::now());
  }
}

void RouteService::OnFirstAttempt() {
  const std::lock_guard lock(mutex_);
  retries_.OnFirstAttempt();
}

bool RouteService::TryRetry() {
  const std::lock_guard lock(mutex_);
  return retries_.TryRetry();
}

TargetState RouteService::StateOf(RegionIndex region,
                                  ServiceIndex service) const {
  const Time now = BootClock::now();
  const Candidates inside = InRegion(DomainCandidates(service), region);
  TargetState state;
  double free = 0;
  int slots = 0;
  std::int64_t weighted_latency = 0;
  Time oldest = now;
  for (const RouteCandidate& candidate : inside) {
    const PoolLoad& load = candidate.view.load;
    slots += load.slots;
    free += Headroom(candidate.view, now) * load.slots;
    weighted_latency += load.latency.count() * load.slots;
    oldest = std::min(oldest, candidate.view.observed);
  }
  if (slots == 0) {
    state.age = Duration::max();
    return state;
  }
  state.headroom = free / slots;
  state.latency = Duration(weighted_latency / slots);
  state.age = now - oldest;
  return state;
}

void RouteService::SyncShifts(const ConfigState& config, Time now) {
  std::erase_if(shifts_, [&config](const auto& entry) {
    const auto found = config.shifts.find(entry.first);
    return found == config.shifts.end() ||
           found->second.id != entry.second.plan().id;
  });
  for (const auto& [key, plan] : config.shifts) {
    shifts_.try_emplace(key, plan, now);
  }
}

void RouteService::PaceShift(ShiftGate& gate, Time now) {
  const ShiftPlan plan = gate.plan();
  const PaceStep before = gate.last_step();
  const TargetState target = StateOf(plan.to, plan.service);
  PaceStep step = PaceStep::kAtCap;
  double fraction = 0;
  {
    const std::lock_guard lock(mutex_);
    step = gate.Advance(target, now);
    fraction = gate.fraction();
  }
  const bool held = step != PaceStep::kAdvanced && step != PaceStep::kAtCap;
  if (step != before) {
    events_.Record(held ? EventCode::kShiftHeld : EventCode::kShiftStep,
                   settings_.deployment.At(plan.service).name,
                   std::string(ToString(step)) + ", at " +
                       std::to_string(fraction) + " of cap " +
                       std::to_string(plan.cap));
  }
}

void RouteService::Tick() {
  const Time now = BootClock::now();
  const auto config = config_.state();
  std::vector<ShiftGate*> gates;
  {
    const std::lock_guard lock(mutex_);
    SyncShifts(*config, now);
    for (auto& [key, gate] : shifts_) {
      gates.push_back(&gate);
    }
  }
  // Only this thread adds or removes gates, so the pointers stay valid.
  for (ShiftGate* gate : gates) {
    PaceShift(*gate, now);
  }
}

std::vector<ShiftStatus> RouteService::Shifts() const {
  const std::lock_guard lock(mutex_);
  std::vector<ShiftStatus> shifts;
  for (const auto& [key, gate] : shifts_) {
    shifts.push_back({gate.plan(), gate.fraction(), gate.offered(),
                      gate.moved(), gate.last_step()});
  }
  return shifts;
}

}  // namespace pathcleat
