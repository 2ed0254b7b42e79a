// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/seat_lease.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "pathcleat/steer/membership.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTick{250'000};
// Work can outlast a lease here, so that the takeover wait matters.
constexpr LeaseTiming kTiming{Duration(4'000'000), Duration(1'000'000),
                              Duration(7'000'000)};
constexpr MembershipTiming kMembership{Duration(1'000'000), Duration(4'000'000),
                                       Duration(600'000)};
constexpr SeatIndex kContested{0};

// The seat's row in the table service.
struct StoreRow {
  std::uint64_t version = 0;
  LeaseRow row;
};

// A write that has left a host and not yet arrived.
struct PendingWrite {
  int host = 0;
  std::uint64_t expected = 0;
  LeaseRow row;
  Time arrives;
};

// Two hosts of one failure domain and a table service. Faults: answers lost
// after the write, writes arriving late, the store out of reach for the whole
// failure domain, hosts paused, heartbeats lost one way or both. Both ways
// only while the store is in reach: that is the assumption of docs/DESIGN.md.
class LeaseWorld {
 public:
  LeaseWorld() {
    for (int i = 0; i < 2; ++i) {
      hosts_.push_back(std::make_unique<Host>(i, now_));
    }
  }

  void Step(unsigned choice) {
    now_ += kTick;
    ApplyLateWrites();
    for (auto& host : hosts_) {
      if (now_ >= host->paused_until) {
        Run(*host, choice);
      }
    }
    CheckSends();
  }

  void Pause(int host, Duration length) {
    hosts_[static_cast<std::size_t>(host)]->paused_until = now_ + length;
  }
  void SetStore(bool up) {
    store_up_ = up;
    KeepAssumption();
  }

  // Loses, or no longer loses, what a host sends to its sibling.
  void ToggleLoss(int host) {
    loses_[host] = !loses_[host];
    KeepAssumption();
  }

 private:
  // Two siblings that do not hear each other at all, with the store out of
  // reach, are what the design assumes not to happen.
  void KeepAssumption() {
    if (!store_up_ && loses_[0] && loses_[1]) {
      loses_[1] = false;
    }
  }

  struct Host {
    Host(int number, Time now)
        : index(number),
          lease("host-" + std::to_string(number),
                "token-" + std::to_string(number),
                kTiming),
          members(SeatIndex{static_cast<std::uint16_t>(number)},
                  {SeatIndex{0}, SeatIndex{1}},
                  kMembership,
                  now) {}
    int index;
    SeatLease lease;
    Membership members;
    std::uint64_t sequence = 0;
    Time rival_seen;
    Time paused_until;
    Time last_send;   // when this host last sent to the upstream
    Time busy_until;  // until when its work may fill the slot
  };

  void Run(Host& host, unsigned choice) {
    host.members.Tick(now_);
    Host& other = *hosts_[static_cast<std::size_t>(1 - host.index)];
    ++host.sequence;
    host.members.OnSent(host.sequence, now_);
    if (now_ >= other.paused_until && !loses_[host.index]) {
      other.members.OnHeartbeat(
          SeatIndex{static_cast<std::uint16_t>(host.index)}, 1, host.sequence,
          host.members.EchoFor(
              SeatIndex{static_cast<std::uint16_t>(other.index)}),
          false,
          host.lease.HasClaim() ? std::vector<SeatIndex>{kContested}
                                : std::vector<SeatIndex>{},
          now_);
    }
    const SeatIndex rival{static_cast<std::uint16_t>(other.index)};
    const bool own_seat = kContested.value == host.index;
    const bool wants = own_seat || host.lease.IsHolder() ||
                       host.members.IsClaimable(kContested, now_);
    const bool may_claim = host.lease.observed().row.holder ==
                               "host-" + std::to_string(host.index) ||
                           host.members.IsClaimable(rival, now_);
    if (own_seat) {
      ConsiderAlone(host);
    }
    Ask(host, host.lease.Next(wants, may_claim, false, now_), choice);
    Send(host);
  }

  // As SeatKeeper does it.
  void ConsiderAlone(Host& host) {
    if (host.members.IsClaimedBySibling(kContested, now_)) {
      host.rival_seen = now_;
    }
    const Time since =
        std::max({host.members.awake_since(), host.rival_seen,
                  host.lease.rival_read(), host.lease.permit_end()});
    if (!store_up_ && !host.lease.MaySend(now_) &&
        now_ - since >=
            kTiming.length + kTiming.takeover_wait + kTiming.renewal) {
      host.lease.HoldAlone(host.members.Evidence(kContested, now_), now_);
    }
  }

  void Ask(Host& host, LeaseAction action, unsigned choice) {
    if (action == LeaseAction::kNothing) {
      return;
    }
    const bool lost = choice % 5 == 0;
    const bool late = choice % 7 == 0;
    if (!store_up_) {
      if (action == LeaseAction::kRead) {
        host.lease.OnUnreachable(now_);
      } else {
        host.lease.OnWritten(StoreOutcome::kUnreachable, 0, now_);
      }
      return;
    }
    if (action == LeaseAction::kRead) {
      host.lease.OnRead({store_.version, store_.row}, now_);
      return;
    }
    const PendingWrite write{host.index, host.lease.expected_version(),
                             host.lease.ProposedRow(), now_ + kTick * 3};
    if (late) {
      late_writes_.push_back(write);
      host.lease.OnWritten(StoreOutcome::kUnknown, 0, now_);
      return;
    }
    const bool done = Apply(write);
    if (lost) {
      host.lease.OnWritten(StoreOutcome::kUnknown, 0, now_);
    } else {
      host.lease.OnWritten(done ? StoreOutcome::kDone : StoreOutcome::kConflict,
                           store_.version, now_);
    }
  }

  bool Apply(const PendingWrite& write) {
    if (store_.version != write.expected) {
      return false;
    }
    store_ = {++next_version_, write.row};
    return true;
  }

  void ApplyLateWrites() {
    std::erase_if(late_writes_, [this](const PendingWrite& write) {
      if (write.arrives > now_) {
        return false;
      }
      Apply(write);
      return true;
    });
  }

  void Send(Host& host) {
    host.lease.UpdatePermit(host.members.Evidence(kContested, now_), now_);
    if (host.lease.MaySend(now_)) {
      host.last_send = now_;
      host.busy_until = now_ + kTiming.takeover_wait;
    }
  }

  // Two owners must never count the same slots at one time.
  void CheckSends() {
    const Host& a = *hosts_[0];
    const Host& b = *hosts_[1];
    RC_ASSERT(!(a.last_send == now_ && b.busy_until > now_));
    RC_ASSERT(!(b.last_send == now_ && a.busy_until > now_));
  }

  Time now_{Duration(100'000'000)};
  std::vector<std::unique_ptr<Host>> hosts_;
  StoreRow store_;
  std::uint64_t next_version_ = 0;
  std::vector<PendingWrite> late_writes_;
  bool store_up_ = true;
  bool loses_[2] = {false, false};
};

// The faults found by this test needed 15 to 1,500 cases.
constexpr int kLeaseCases = 10'000;

// Part of the promise "no overload": a seat's upstreams are filled by one
// host at a time, through pauses, lost and late store answers and outages of
// the store, each at any time and twice. Checked to fail with the takeover
// wait set to nothing, with rows taken over before they were seen unchanged
// for a length, with siblings' promises left out, and with a permit
// stretched, or a lapsed lease renewed, as if it had not run out.
Test(promise, one_owner_at_a_time) {
  cr_assert(Holds(
      "two hosts never fill the same slots",
      [] {
        LeaseWorld world;
        using Event = std::pair<int, unsigned>;
        const auto events = *rc::gen::resize(
            400, rc::gen::container<std::vector<Event>>(rc::gen::pair(
                     rc::gen::inRange(0, 40), rc::gen::arbitrary<unsigned>())));
        for (const auto& [event, value] : events) {
          switch (event) {
            case 0:
              world.Pause(static_cast<int>(value % 2),
                          kTick * static_cast<int>(value % 60));
              break;
            case 1:
              world.SetStore(false);
              break;
            case 2:
            case 3:
              world.SetStore(true);
              break;
            case 4:
              world.ToggleLoss(static_cast<int>(value % 2));
              break;
            default:
              break;
          }
          world.Step(value);
        }
      },
      kLeaseCases));
}

SeatLease Claimed(Time now) {
  SeatLease lease("host", "token", kTiming);
  cr_assert_eq(lease.Next(true, true, true, now), LeaseAction::kRead);
  lease.OnRead({}, now);
  cr_assert_eq(lease.Next(true, true, true, now), LeaseAction::kClaim);
  lease.OnWritten(StoreOutcome::kDone, 1, now);
  return lease;
}

const Time kStart{Duration(100'000'000)};

Test(seat_lease, free_seat_without_a_handover_waits_for_old_work) {
  SeatLease lease("host", "token", kTiming);
  lease.Next(true, true, false, kStart);
  lease.OnRead({}, kStart);
  lease.Next(true, true, false, kStart);
  lease.OnWritten(StoreOutcome::kDone, 1, kStart);
  cr_assert_eq((lease.usable_from() - kStart).count(),
               kTiming.takeover_wait.count());
}

Test(seat_lease, not_held_alone_beside_a_sibling_without_a_promise) {
  SeatLease lease("host", "token", kTiming);
  lease.HoldAlone({kStart, false}, kStart);
  cr_assert(!lease.IsHolder());
  lease.HoldAlone({kStart + kTick, true}, kStart);
  cr_assert(!lease.IsHolder());
  lease.HoldAlone({kStart + kTick, false}, kStart);
  cr_assert(lease.MaySend(kStart));
}

Test(seat_lease, handed_over_seat_is_used_at_once) {
  SeatLease lease = Claimed(kStart);
  lease.UpdatePermit({}, kStart);
  cr_assert(lease.MaySend(kStart));
}

Test(seat_lease, paused_holder_wakes_without_a_permit) {
  SeatLease lease = Claimed(kStart);
  lease.UpdatePermit({}, kStart);
  const Time woken = kStart + kTiming.length;
  cr_assert(!lease.MaySend(woken));
  lease.Next(true, true, true, woken);
  lease.OnWritten(StoreOutcome::kUnreachable, 0, woken);
  lease.UpdatePermit({}, woken);
  cr_assert(!lease.MaySend(woken));
}

Test(seat_lease, holder_goes_on_while_the_store_is_out_of_reach) {
  SeatLease lease = Claimed(kStart);
  Time now = kStart;
  for (; now < kStart + kTiming.length * 3; now += kTick) {
    if (lease.Next(true, true, true, now) == LeaseAction::kRenew) {
      lease.OnWritten(StoreOutcome::kUnreachable, 0, now);
    }
    lease.UpdatePermit({now + kTick * 2, false}, now);
    cr_assert(lease.MaySend(now));
  }
  lease.UpdatePermit({now, false}, now);
  cr_assert(!lease.MaySend(now));
}

Test(seat_lease, host_with_an_unsettled_claim_gives_no_promise) {
  SeatLease lease("host", "token", kTiming);
  lease.Next(true, true, true, kStart);
  lease.OnRead({}, kStart);
  cr_assert(!lease.HasClaim());
  lease.Next(true, true, true, kStart);
  cr_assert(lease.HasClaim());
  lease.OnWritten(StoreOutcome::kUnknown, 0, kStart);
  cr_assert(lease.HasClaim());
  lease.Next(true, true, true, kStart + kTiming.renewal);
  lease.OnRead({3, {"other", "token-o", 1}}, kStart + kTiming.renewal);
  cr_assert(!lease.HasClaim());
}

Test(seat_lease, lost_answers_of_two_rivals_are_read_back) {
  SeatLease winner("a", "token-a", kTiming);
  SeatLease loser("b", "token-b", kTiming);
  for (SeatLease* lease : {&winner, &loser}) {
    lease->Next(true, true, true, kStart);
    lease->OnRead({}, kStart);
    lease->Next(true, true, true, kStart);
    lease->OnWritten(StoreOutcome::kUnknown, 0, kStart);
  }
  const ObservedRow row{1, {"a", "token-a", 1}};
  const Time later = kStart + kTiming.renewal;
  cr_assert_eq(winner.Next(true, true, true, later), LeaseAction::kRead);
  winner.OnRead(row, later);
  loser.Next(true, true, true, later);
  loser.OnRead(row, later);
  cr_assert(winner.IsHolder());
  cr_assert(!loser.IsHolder());
}

Test(seat_lease, replaced_host_waits_for_its_forerunners_lease) {
  SeatLease lease("host", "new", kTiming);
  lease.Next(true, true, true, kStart);
  lease.OnRead({7, {"host", "old", 3}}, kStart);
  const Time soon = kStart + kTiming.renewal;
  cr_assert_neq(lease.Next(true, true, true, soon), LeaseAction::kClaim);
  lease.OnRead({7, {"host", "old", 3}}, soon);
  const Time ended = kStart + kTiming.length;
  cr_assert_eq(lease.Next(true, true, true, ended), LeaseAction::kClaim);
  lease.OnWritten(StoreOutcome::kDone, 8, ended);
  const Time usable = ended + kTiming.takeover_wait;
  for (Time now = ended; now < usable; now += kTick) {
    if (lease.Next(true, true, true, now) == LeaseAction::kRenew) {
      lease.OnWritten(StoreOutcome::kDone, 9, now);
    }
    lease.UpdatePermit({}, now);
    cr_assert(!lease.MaySend(now));
  }
  cr_assert(lease.MaySend(usable));
}

Test(seat_lease, seat_held_alone_goes_to_whom_the_store_names) {
  SeatLease lease("host", "token", kTiming);
  lease.Next(true, true, true, kStart);
  lease.OnUnreachable(kStart);
  lease.HoldAlone({}, kStart);
  cr_assert(lease.MaySend(kStart));
  const Time later = kStart + kTiming.renewal;
  lease.Next(true, true, true, later);
  lease.OnRead({4, {"other", "token-o", 9}}, later);
  cr_assert(!lease.IsHolder());
}

}  // namespace
}  // namespace pathcleat
