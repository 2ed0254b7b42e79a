// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/send_permits.hpp"

namespace pathcleat {

SendPermits::SendPermits(std::size_t seats)
    : permits_(std::make_unique<Permit[]>(seats)) {}

void SendPermits::Set(SeatIndex seat, Time from, Time end) {
  Permit& permit = permits_[seat.value];
  permit.from = from.time_since_epoch().count();
  permit.end = end.time_since_epoch().count();
}

void SendPermits::Revoke(SeatIndex seat) {
  permits_[seat.value].end = 0;
}

bool SendPermits::MaySend(SeatIndex seat, Time now) const {
  const Permit& permit = permits_[seat.value];
  const Time::rep micros = now.time_since_epoch().count();
  return micros >= permit.from && micros < permit.end;
}

}  // namespace pathcleat
