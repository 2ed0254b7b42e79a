// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_datagram.hpp"

#include "pathcleat/core/mac.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const std::string kKey = "key";

Test(peer_datagram, kind_and_message_arrive) {
  const std::string sealed =
      SealDatagram(DatagramKind::kDomainReport, "message", kKey);
  const auto datagram = OpenDatagram(sealed, kKey);
  cr_assert(datagram && datagram->kind == DatagramKind::kDomainReport);
  cr_assert(datagram->message == "message");
  cr_assert_not(OpenDatagram(sealed, "other key"));
}

// A newer form of a heartbeat is one of a kind that is not known here.
Test(peer_datagram, unknown_kind_is_told_and_empty_one_refused) {
  constexpr auto kNewer = static_cast<DatagramKind>(0x21);
  const auto datagram = OpenDatagram(SealDatagram(kNewer, "?", kKey), kKey);
  cr_assert(datagram && datagram->kind == kNewer);
  cr_assert_not(OpenDatagram(AppendMac("", kKey), kKey));
}

// Hosts of the last version sent heartbeats without a kind. Those begin with
// cereal's mark of its byte order, which no kind is.
Test(peer_datagram, heartbeat_of_the_form_before_is_no_known_kind) {
  const auto datagram =
      OpenDatagram(AppendMac(EncodeHeartbeat(Heartbeat()), kKey), kKey);
  cr_assert(datagram && datagram->kind != DatagramKind::kHeartbeat &&
            datagram->kind != DatagramKind::kDomainReport);
}

Test(peer_datagram, any_bytes_are_read_or_refused) {
  cr_assert(Holds("no bytes do harm", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    OpenDatagram(bytes, kKey);
    OpenDatagram(AppendMac(bytes, kKey), kKey);
  }));
}

}  // namespace
}  // namespace pathcleat
