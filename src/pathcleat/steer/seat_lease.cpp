// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/seat_lease.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {

SeatLease::SeatLease(std::string holder,
                     std::string token,
                     const LeaseTiming& timing)
    : holder_(std::move(holder)), token_(std::move(token)), timing_(timing) {}

LeaseAction SeatLease::Next(bool wanted,
                            bool may_claim,
                            bool handed_over,
                            Time now) {
  if (ask_open_) {
    return LeaseAction::kNothing;
  }
  const bool due =
      asked_ == LeaseAction::kNothing || now - asked_at_ >= timing_.renewal;
  LeaseAction action = LeaseAction::kNothing;
  if (must_read_ && (wanted || holds_)) {
    // The first read is at once; a read that failed is repeated when due.
    action =
        due || !unreachable_at_ ? LeaseAction::kRead : LeaseAction::kNothing;
  } else if (holds_ && !wanted) {
    action = alone_ ? LeaseAction::kNothing : LeaseAction::kRelease;
    holds_ = !alone_;
  } else if (holds_ && !alone_) {
    action = due ? LeaseAction::kRenew : LeaseAction::kNothing;
  } else if (wanted) {
    const bool free = observed_.version == 0;
    const bool ended = may_claim && RowHasEnded(now);
    if (free || ended || alone_) {
      action = LeaseAction::kClaim;
    } else if (due) {
      action = LeaseAction::kRead;
    }
  }
  if (action != LeaseAction::kNothing) {
    ask_open_ = true;
    asked_ = action;
    handed_over_ = handed_over;
    asked_at_ = now;
  }
  return action;
}

LeaseRow SeatLease::ProposedRow() const {
  return {holder_, token_, observed_.row.renewal + 1};
}

bool SeatLease::RowHasEnded(Time now) const {
  return ever_read_ && now - unchanged_since_ >= timing_.length;
}

void SeatLease::Hold(Time asked, Time usable_from) {
  holds_ = true;
  lease_end_ = asked + timing_.length;
  usable_from_ = usable_from;
}

void SeatLease::OnRead(const ObservedRow& row, Time now) {
  ask_open_ = false;
  must_read_ = false;
  claim_unsettled_ = false;
  unreachable_at_.reset();
  const bool changed = !ever_read_ || row.version != observed_.version;
  const bool mine = row.version != 0 && row.row.token == token_;
  const bool own_old_row = row.version == 0 || row.row.holder == holder_;
  if (alone_ && !mine && own_old_row) {
    ever_read_ = true;
    observed_ = row;
    return;
  }
  if (changed) {
    // A row seen first now may have been written just now.
    unchanged_since_ = now;
  }
  ever_read_ = true;
  observed_ = row;
  if (row.version != 0 && !mine) {
    rival_read_ = now;
  }
  if (!mine) {
    holds_ = false;
    alone_ = false;
  } else if (!holds_) {
    // A claim whose answer was lost had taken effect. Its time is not known
    // better than "before this read"; the next renewal gives a new end.
    Hold(asked_at_ - timing_.length, now + timing_.takeover_wait);
  }
}

void SeatLease::OnWritten(StoreOutcome outcome,
                          std::uint64_t version,
                          Time now) {
  ask_open_ = false;
  switch (outcome) {
    case StoreOutcome::kDone: {
      unreachable_at_.reset();
      const bool at_once = observed_.version == 0 && handed_over_;
      observed_.row = ProposedRow();
      observed_.version = version;
      unchanged_since_ = now;
      if (holds_) {
        const bool lapsed = now >= permit_end_;
        if (lapsed) {
          usable_from_ = std::max(usable_from_, now + timing_.takeover_wait);
        }
        lease_end_ = asked_at_ + timing_.length;
        alone_ = false;
      } else {
        Hold(asked_at_, at_once ? now : now + timing_.takeover_wait);
      }
      break;
    }
    case StoreOutcome::kConflict:
      unreachable_at_.reset();
      must_read_ = true;
      break;
    case StoreOutcome::kUnreachable:
      unreachable_at_ = now;
      break;
    case StoreOutcome::kUnknown:
      unreachable_at_ = now;
      must_read_ = true;
      claim_unsettled_ = claim_unsettled_ || !holds_;
      break;
  }
}

void SeatLease::OnReleased(StoreOutcome outcome, Time now) {
  ask_open_ = false;
  must_read_ = true;
  if (outcome == StoreOutcome::kUnreachable ||
      outcome == StoreOutcome::kUnknown) {
    unreachable_at_ = now;
    return;
  }
  holds_ = false;
}

void SeatLease::HoldAlone(const SiblingEvidence& siblings, Time now) {
  const Time until = now + timing_.renewal;
  const Time promised = siblings.promised_until.value_or(until);
  if (siblings.is_claimed || promised <= now) {
    return;
  }
  Hold(now - timing_.length, now);
  permit_end_ = std::min(until, promised);
  alone_ = true;
  must_read_ = true;
}

void SeatLease::OnUnreachable(Time now) {
  ask_open_ = false;
  unreachable_at_ = now;
}

void SeatLease::UpdatePermit(const SiblingEvidence& siblings, Time now) {
  if (!holds_) {
    permit_end_ = Time::min();
    return;
  }
  const bool unbroken = now < permit_end_;
  if (siblings.is_claimed && !MaySend(now)) {
    usable_from_ = std::max(usable_from_, now + timing_.takeover_wait);
  }
  permit_end_ = std::max(permit_end_, lease_end_);
  // A store that answers decides by itself; only one that was tried lately,
  // and was out of reach, leaves room to go on.
  const bool store_out = unreachable_at_ && now >= *unreachable_at_ &&
                         now - *unreachable_at_ < timing_.length;
  if (unbroken && store_out) {
    const Time out_until = *unreachable_at_ + timing_.length;
    const Time alone_until =
        std::min(out_until, siblings.promised_until.value_or(out_until));
    permit_end_ = std::max(lease_end_, alone_until);
  }
}

bool SeatLease::MaySend(Time now) const {
  return holds_ && now >= usable_from_ && now < permit_end_;
}

bool SeatLease::HasClaim() const {
  const bool asking = ask_open_ && asked_ == LeaseAction::kClaim;
  return holds_ || asking || claim_unsettled_;
}

}  // namespace pathcleat
