// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/seat_keeper.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pathcleat/steer/seat_assignment.hpp"
#include "pathcleat/wire/seal.hpp"

namespace pathcleat {
namespace {

using nlohmann::json;

std::string RowName(const std::string& seat) {
  return "seat/" + seat;
}

std::string ToJson(const LeaseRow& row) {
  return json{
      {"holder", row.holder}, {"token", row.token}, {"renewal", row.renewal}}
      .dump();
}

ObservedRow ToObserved(const TableRow& row) {
  ObservedRow observed;
  observed.version = row.version;
  const json value = json::parse(row.value, nullptr, false);
  if (value.is_object()) {
    observed.row.holder = value.value("holder", "");
    observed.row.token = value.value("token", "");
    observed.row.renewal = value.value("renewal", std::uint64_t{0});
  }
  return observed;
}

LeaseTiming TimingFrom(const Deployment& deployment) {
  LeaseTiming timing;
  timing.length = deployment.timing.lease_length;
  timing.renewal = deployment.timing.lease_renewal;
  timing.takeover_wait =
      deployment.LongestDeadline() + deployment.timing.release_margin;
  return timing;
}

}  // namespace

SeatKeeper::SeatKeeper(Shared& shared, TableStore& store, QObject* parent)
    : QObject(parent), shared_(shared), store_(store) {
  const HostSettings& settings = shared.settings;
  const LeaseTiming timing = TimingFrom(settings.deployment);
  for (const SeatIndex seat :
       settings.deployment.SeatsIn(settings.self().domain)) {
    seats_.emplace(
        seat, Held(SeatLease(settings.self().name, RandomToken(), timing)));
  }
}

const std::string& SeatKeeper::NameOf(SeatIndex seat) const {
  return shared_.settings.deployment.At(seat).name;
}

void SeatKeeper::OnStoreCall(std::function<void(StoreOutcome)> listener) {
  on_store_call_ = std::move(listener);
}

void SeatKeeper::Told(StoreOutcome outcome) {
  if (on_store_call_) {
    on_store_call_(outcome);
  }
}

void SeatKeeper::Tick() {
  const Time now = BootClock::now();
  for (auto& [seat, held] : seats_) {
    TickSeat(seat, held, now);
  }
}

void SeatKeeper::BeginLeaving() {
  leaving_ = true;
  shared_.owner.CloseForNew();
}

bool SeatKeeper::IsReleased() const {
  return std::none_of(seats_.begin(), seats_.end(), [](const auto& entry) {
    return entry.second.lease.IsHolder();
  });
}

std::vector<SeatIndex> SeatKeeper::Claims() const {
  std::vector<SeatIndex> claims;
  for (const auto& [seat, held] : seats_) {
    if (held.lease.HasClaim()) {
      claims.push_back(seat);
    }
  }
  return claims;
}

std::string SeatKeeper::DescribeSeat(SeatIndex seat) const {
  const auto found = seats_.find(seat);
  if (found == seats_.end()) {
    return "in another failure domain";
  }
  const SeatLease& lease = found->second.lease;
  if (lease.IsHolder()) {
    const bool past = lease.IsPastEnd(BootClock::now());
    return past ? "held here without the platform" : "held here";
  }
  const LeaseRow& row = lease.observed().row;
  return row.holder.empty() ? "not held here"
                            : "held by " + row.holder + " when last read";
}

// A seat belongs to its own host while that is there; a dead or leaving
// host's seat to one of the hosts left, the same for all that know the same.
bool SeatKeeper::Wants(SeatIndex seat, Time now) const {
  const MemberService& members = shared_.members;
  if (leaving_) {
    return false;
  }
  if (seat == shared_.settings.seat) {
    return true;
  }
  const bool leaving = members.IsLeaving(seat);
  const bool alive = members.IsAlive(seat, now);
  if (alive && !leaving) {
    return false;
  }
  const auto found = seats_.find(seat);
  const bool holds = found->second.lease.IsHolder();
  if (!holds && !leaving && !members.IsClaimable(seat, now)) {
    return false;
  }
  std::vector<NamedSeat> candidates;
  for (const SeatIndex candidate : members.Candidates(now)) {
    candidates.push_back({candidate, NameOf(candidate)});
  }
  return !candidates.empty() &&
         OwningSeat(NameOf(seat), candidates) == shared_.settings.seat;
}

// Whether the holder named in the row is gone, so that its lease, once ended,
// may be taken over.
bool SeatKeeper::MayClaim(const SeatLease& lease, Time now) const {
  const std::string& holder = lease.observed().row.holder;
  if (holder == shared_.settings.self().name) {
    return true;
  }
  const auto seat = shared_.settings.deployment.FindSeat(holder);
  return !seat || shared_.members.IsClaimable(*seat, now);
}

// A host that is heard and leaves, or that had the seat a moment ago, gives it
// up only when none of its work is left.
bool SeatKeeper::IsHandedOver(SeatIndex seat,
                              const Held& held,
                              Time now) const {
  const MemberService& members = shared_.members;
  const bool leaves = members.IsLeaving(seat) && members.IsAlive(seat, now);
  const Duration moment = shared_.settings.deployment.timing.peer_silence;
  const bool given_back = held.rival_seen != Time{} &&
                          now - held.rival_seen < moment &&
                          !members.IsClaimedBySibling(seat, now);
  return leaves || given_back;
}

void SeatKeeper::TickSeat(SeatIndex seat, Held& held, Time now) {
  const bool wants = Wants(seat, now);
  ConsiderAlone(seat, held, now);
  UpdateServing(seat, held, wants, now);
  ReportState(seat, held, now);
  const bool work_left = leaving_ ? !shared_.owner.IsIdle()
                                  : shared_.owner.InFlightOfSeat(seat) > 0;
  const bool keep = wants || (held.lease.IsHolder() && work_left);
  Ask(seat, held,
      held.lease.Next(keep, MayClaim(held.lease, now),
                      IsHandedOver(seat, held, now), now));
}

// While the platform is out of reach, the seat's own host takes it when
// nobody can be filling it any more: whoever had it would be heard, or has
// been unable to renew its permit for longer than that and its work lasts. A
// renewal can be newer than the last read of it by one period.
void SeatKeeper::ConsiderAlone(SeatIndex seat, Held& held, Time now) {
  if (shared_.members.IsClaimedBySibling(seat, now)) {
    held.rival_seen = now;
  }
  const LeaseTiming timing = TimingFrom(shared_.settings.deployment);
  const Time since =
      std::max({shared_.members.AwakeSince(), held.rival_seen,
                held.lease.rival_read(), held.lease.permit_end()});
  const bool long_enough =
      now - since >= timing.length + timing.takeover_wait + timing.renewal;
  const bool may = seat == shared_.settings.seat && !leaving_ &&
                   !held.lease.MaySend(now) && !shared_.platform_up &&
                   long_enough;
  if (may) {
    held.lease.HoldAlone(shared_.members.Evidence(seat, now), now);
  }
}

void SeatKeeper::UpdateServing(SeatIndex seat,
                               Held& held,
                               bool wants,
                               Time now) {
  const bool holds = held.lease.IsHolder();
  // A leaving host finishes what it has; new work is refused at the door.
  const bool serve =
      holds && (wants || (leaving_ && held.added && !shared_.owner.IsIdle()));
  if (!serve) {
    if (held.added) {
      StopServing(seat, held);
    }
    return;
  }
  held.lease.UpdatePermit(shared_.members.Evidence(seat, now), now);
  shared_.owner.permits().Set(seat, held.lease.usable_from(),
                              held.lease.permit_end());
  const bool permitted = now < held.lease.permit_end();
  const Time usable_from = permitted ? held.lease.usable_from() : Time::max();
  if (!held.added || usable_from != held.usable_from) {
    shared_.owner.AddSeat(seat, usable_from);
    held.usable_from = usable_from;
  }
  if (!held.added) {
    held.added = true;
    const Duration wait =
        std::max(Duration::zero(), held.lease.usable_from() - now);
    shared_.events.Record(
        EventCode::kSeatAcquired, NameOf(seat),
        "sending starts in " +
            std::to_string(static_cast<int>(ToMilliseconds(wait))) + " ms");
  }
}

void SeatKeeper::StopServing(SeatIndex seat, Held& held) {
  shared_.owner.permits().Revoke(seat);
  shared_.owner.RemoveSeat(seat);
  held.added = false;
  held.reported_serving = false;
  if (!held.lease.IsHolder()) {
    shared_.events.Record(EventCode::kSeatLost, NameOf(seat),
                          "another host has taken it over");
  }
}

void SeatKeeper::ReportState(SeatIndex seat, Held& held, Time now) {
  const bool sending = held.added && shared_.owner.permits().MaySend(seat, now);
  if (sending && !held.reported_serving) {
    shared_.events.Record(EventCode::kSeatServing, NameOf(seat),
                          "its upstreams are filled from here");
  }
  if (!sending && held.reported_serving && held.added) {
    shared_.events.Record(EventCode::kSeatLost, NameOf(seat),
                          "the permit to send has run out");
  }
  held.reported_serving = sending;
  const bool alone = sending && held.lease.IsPastEnd(now);
  if (alone && !held.reported_alone) {
    shared_.events.Record(EventCode::kSeatHeldAlone, NameOf(seat),
                          "the lease could not be renewed; held on as no "
                          "sibling can have claimed it");
  }
  held.reported_alone = alone;
}

void SeatKeeper::Ask(SeatIndex seat, Held& held, LeaseAction action) {
  switch (action) {
    case LeaseAction::kNothing:
      return;
    case LeaseAction::kRead:
      Read(seat);
      return;
    case LeaseAction::kClaim:
    case LeaseAction::kRenew:
      Write(seat);
      return;
    case LeaseAction::kRelease:
      StopServing(seat, held);
      Release(seat);
      return;
  }
}

void SeatKeeper::Read(SeatIndex seat) {
  store_.Read(RowName(NameOf(seat)), [this, seat](const TableRead& read) {
    Told(read.outcome);
    SeatLease& lease = seats_.at(seat).lease;
    if (read.outcome == StoreOutcome::kDone) {
      lease.OnRead(ToObserved(read.row), BootClock::now());
    } else {
      lease.OnUnreachable(BootClock::now());
    }
  });
}

void SeatKeeper::Write(SeatIndex seat) {
  const SeatLease& lease = seats_.at(seat).lease;
  store_.Write(RowName(NameOf(seat)), lease.expected_version(),
               ToJson(lease.ProposedRow()),
               [this, seat](const TableWrite& write) {
                 Told(write.outcome);
                 seats_.at(seat).lease.OnWritten(write.outcome, write.version,
                                                 BootClock::now());
               });
}

void SeatKeeper::Release(SeatIndex seat) {
  const SeatLease& lease = seats_.at(seat).lease;
  store_.Delete(RowName(NameOf(seat)), lease.expected_version(),
                [this, seat](const TableWrite& write) {
                  Told(write.outcome);
                  seats_.at(seat).lease.OnReleased(write.outcome,
                                                   BootClock::now());
                  if (write.outcome == StoreOutcome::kDone) {
                    shared_.events.Record(EventCode::kSeatReleased,
                                          NameOf(seat), "given back");
                  }
                });
}

}  // namespace pathcleat
