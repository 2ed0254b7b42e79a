// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Decides whether this host may send a request to an upstream.

#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

const char* ToText(SendBlock block) {
  switch (block) {
    case SendBlock::kNone:
      return "it may be sent";
    case SendBlock::kClosed:
      return "the upstream accepts no new requests any more";
    case SendBlock::kLeaving:
      return "the upstream has announced that it leaves";
    case SendBlock::kVersionNotOpen:
      return "the upstream's version is not in use yet";
    case SendBlock::kRateShare:
      return "this host's share of the upstream's rate is used up";
  }
  return "";
}

SendBlock UpstreamTable::LastingBlockOf(const UpstreamState& upstream) const {
  if (upstream.removed || upstream.info.leaving ||
      drained_domains_.contains(upstream.info.domain) ||
      drained_upstreams_.contains(upstream.info.id) ||
      drained_regions_.contains(upstream.region)) {
    return SendBlock::kClosed;
  }
  return upstream.announced_leaving ? SendBlock::kLeaving : SendBlock::kNone;
}

SendBlock UpstreamTable::BlockOf(const UpstreamState& upstream,
                                 const SendReservation& held,
                                 Time now) const {
  const SendBlock lasting = LastingBlockOf(upstream);
  if (lasting != SendBlock::kNone) {
    return lasting;
  }
  if (now < upstream.open_from) {
    return SendBlock::kVersionNotOpen;
  }
  const bool has_share = held.rate_share || !upstream.IsRateBounded(now) ||
                         upstream.rate_share.CanAcquire(now);
  return has_share ? SendBlock::kNone : SendBlock::kRateShare;
}

SendBlock UpstreamTable::Reserve(UpstreamState& upstream,
                                 SendReservation& held,
                                 Time now) const {
  const SendBlock block = BlockOf(upstream, held, now);
  if (block != SendBlock::kNone) {
    return block;
  }
  if (!held.rate_share && upstream.IsRateBounded(now)) {
    held.rate_share = upstream.rate_share.TryAcquire(now);
  }
  return SendBlock::kNone;
}

void UpstreamTable::Release(UpstreamState& upstream,
                            SendReservation& held,
                            bool was_sent,
                            Time now) const {
  if (held.rate_share && !was_sent) {
    upstream.rate_share.Release(now);
  }
  held = {};
}

void UpstreamTable::DropExpiredStatements(Time now) {
  leaving_ledger_.DropExpired(
      [this](const std::string& id) { return by_id_.contains(id); }, now);
}

bool UpstreamTable::UpdateLeaving(const std::string& id,
                                  const LeavingStatement& statement) {
  if (!leaving_ledger_.Add(id, statement)) {
    return false;
  }
  const UpstreamPtr upstream = Find(id);
  if (!upstream) {
    return false;
  }
  const bool leaves = leaving_ledger_.IsLeaving(id, upstream->info.started_ms);
  if (upstream->announced_leaving == leaves) {
    return false;
  }
  upstream->announced_leaving = leaves;
  ++revision_;
  return true;
}

}  // namespace pathcleat
