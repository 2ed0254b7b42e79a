// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A seat's row in the table service.
/// @ingroup steer
struct LeaseRow {
  std::string holder;         ///< seat name of the holding host
  std::string token;          ///< unique to one holder process
  std::uint64_t renewal = 0;  ///< counts the writes

  bool operator==(const LeaseRow&) const = default;
};

/// @brief The row as last read, with the store's version of it; version 0
/// means that there is no row.
/// @ingroup steer
struct ObservedRow {
  std::uint64_t version = 0;
  LeaseRow row;
};

/// @brief How a write to the store ended, as far as the writer knows.
/// @ingroup steer
enum class StoreOutcome {
  kDone,
  kConflict,     ///< the row was not at the expected version
  kUnreachable,  ///< certainly not done
  kUnknown,      ///< may have been done
};

/// @brief What its siblings let a holder know; they alone may claim its seat.
/// @ingroup steer
struct SiblingEvidence {
  /// Every sibling that is heard neither has a claim to the seat nor will make
  /// one before this time; no value if none is heard.
  std::optional<Time> promised_until;
  /// Whether one that is heard holds, or may hold, the seat.
  bool is_claimed = false;
};

/// @brief Periods of a lease.
/// @ingroup steer
struct LeaseTiming {
  Duration length{6'000'000};
  Duration renewal{2'000'000};
  /// Longest time work sent by an earlier holder can fill a slot.
  Duration takeover_wait{5'500'000};
};

/// @brief What to do next about a seat.
/// @ingroup steer
enum class LeaseAction {
  kNothing,
  kRead,     ///< read the row
  kClaim,    ///< write ProposedRow at the version last read
  kRenew,    ///< write ProposedRow at the version last read
  kRelease,  ///< delete the row at the version last read
};

/// @brief One host's dealings with one seat: pure state, driven by the
/// answers of the store and by time. At most one host of a failure domain
/// may send on a seat's instances at any moment. Not thread-safe.
///
/// All times are of the BootClock, which runs on while the process is paused.
/// A lease's end is counted from before its write was asked for; a rival's
/// row counts as ended only after it was seen unchanged for a whole length.
/// @ingroup steer
class SeatLease {
 public:
  SeatLease(std::string holder, std::string token, const LeaseTiming& timing);

  /// @brief What to ask the store for now. A call counts as asked.
  /// @param wanted whether this host should hold the seat.
  /// @param may_claim whether the seat's own host is gone (or is this one),
  /// so that a row that has ended may be taken over.
  /// @param handed_over whether a sibling that is heard has just let go of
  /// the seat, so that a free row means that none of its work is left.
  LeaseAction Next(bool wanted, bool may_claim, bool handed_over, Time now);

  /// @brief The row for kClaim and kRenew.
  LeaseRow ProposedRow() const;

  /// @brief Version to be matched by the write or deletion.
  std::uint64_t expected_version() const { return observed_.version; }

  /// @brief Answer to kRead.
  void OnRead(const ObservedRow& row, Time now);

  /// @brief Answer to kClaim or kRenew.
  /// @param version of the row after the write, for kDone.
  void OnWritten(StoreOutcome outcome, std::uint64_t version, Time now);

  /// @brief Answer to kRelease.
  void OnReleased(StoreOutcome outcome, Time now);

  /// @brief Takes the seat without the store, which is out of reach: for the
  /// seat's own host, after nobody that it hears has had a claim for a lease's
  /// length and a takeover wait. The row is claimed when the store answers.
  /// Does nothing if a sibling that is heard gives no promise.
  void HoldAlone(const SiblingEvidence& siblings, Time now);

  /// @brief A read did not reach the store.
  void OnUnreachable(Time now);

  /// @brief Renews the permit to send from what is known now; call at every
  /// tick. While the store is out of reach the permit is stretched by the
  /// siblings' promises, but only while it has never run out: a holder that
  /// was paused past its permit needs the store's word again, and then waits
  /// as after a takeover. So does one that hears a sibling with a claim.
  void UpdatePermit(const SiblingEvidence& siblings, Time now);

  /// @brief End of the permit to send; in the past if there is none. Sending
  /// also needs usable_from to have come.
  Time permit_end() const { return permit_end_; }

  /// @brief Whether a request may be sent on this seat's instances now.
  bool MaySend(Time now) const;

  /// @brief Whether the row is, or may yet turn out to be, this host's. A host
  /// with a claim gives no promise about the seat.
  bool HasClaim() const;

  /// @brief Whether the row was this host's when last heard of.
  bool IsHolder() const { return holds_; }

  /// @brief Start of sending: the claim plus, after a takeover, the wait.
  Time usable_from() const { return usable_from_; }

  /// @brief When a read last showed the row as another's.
  Time rival_read() const { return rival_read_; }

  /// @brief Whether sending now rests on siblings' word, not on the store.
  bool IsPastEnd(Time now) const { return holds_ && now >= lease_end_; }

  const ObservedRow& observed() const { return observed_; }

 private:
  bool RowHasEnded(Time now) const;
  void Hold(Time asked, Time usable_from);

  std::string holder_;
  std::string token_;
  LeaseTiming timing_;
  ObservedRow observed_;
  bool ever_read_ = false;
  Time unchanged_since_;
  Time rival_read_ = Time::min();
  bool holds_ = false;
  bool handed_over_ = false;
  bool alone_ = false;  ///< held without a row of its own
  bool ask_open_ = false;
  bool claim_unsettled_ = false;  ///< a claim's outcome is not known
  bool must_read_ = true;
  LeaseAction asked_ = LeaseAction::kNothing;
  Time asked_at_;
  Time lease_end_ = Time::min();
  Time permit_end_ = Time::min();
  Time usable_from_;
  std::optional<Time> unreachable_at_;
};

}  // namespace pathcleat
