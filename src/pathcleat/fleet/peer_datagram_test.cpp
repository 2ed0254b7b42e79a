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

// A host of a newer version may send a heartbeat in a format with a new number.
Test(peer_datagram, unknown_kind_is_returned_and_empty_payload_rejected) {
  constexpr auto kNewer = static_cast<DatagramKind>(0x21);
  const auto datagram = OpenDatagram(SealDatagram(kNewer, "?", kKey), kKey);
  cr_assert(datagram && datagram->kind == kNewer);
  cr_assert_not(OpenDatagram(AppendMac("", kKey), kKey));
}

// Hosts of the previous version sent heartbeats without a kind. These begin
// with the byte order mark of cereal, which must not be the value of a kind.
Test(peer_datagram, heartbeat_in_the_previous_format_has_no_known_kind) {
  const auto datagram =
      OpenDatagram(AppendMac(EncodeHeartbeat(Heartbeat()), kKey), kKey);
  cr_assert(datagram && datagram->kind != DatagramKind::kHeartbeat &&
            datagram->kind != DatagramKind::kDomainReport);
}

Test(peer_datagram, any_bytes_are_decoded_or_rejected) {
  cr_assert(Holds("decoding arbitrary bytes never crashes", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    OpenDatagram(bytes, kKey);
    OpenDatagram(AppendMac(bytes, kKey), kKey);
  }));
}

}  // namespace
}  // namespace pathcleat
