// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/lab/slope.hpp"
#include "pathcleat/steer/config_log.hpp"
#include "pathcleat/wire/codec.hpp"
#include "pathcleat/wire/seal.hpp"
#include "stopwatch.hpp"

namespace pathcleat {
namespace {

constexpr const char* kKey = "key of the measurement";
constexpr std::size_t kCalls = 5'000;

StateMessage HeartbeatWith(std::size_t services) {
  Heartbeat heartbeat;
  heartbeat.claims = {SeatIndex{1}};
  for (const ServiceIndex service : IndexRange<ServiceIndex>(services)) {
    heartbeat.loads.push_back({service, 10, 5, 0, 20'000});
  }
  StateMessage message;
  message.body = heartbeat;
  return message;
}

StateMessage GossipWith(std::size_t summaries) {
  Gossip gossip;
  for (const DomainIndex domain : IndexRange<DomainIndex>(summaries)) {
    DomainSummary summary;
    summary.domain = domain;
    summary.contacts = {SeatIndex{1}, SeatIndex{2}, SeatIndex{3}};
    summary.loads = {{ServiceIndex{0}, 10, 5, 0, 20'000},
                     {ServiceIndex{1}, 10, 5, 0, 20'000}};
    gossip.summaries.push_back(summary);
  }
  StateMessage message;
  message.body = gossip;
  return message;
}

template <class Make>
void AddSlopes(std::vector<Slope>& slopes,
               const std::string& name,
               const std::string& unit,
               const std::vector<std::size_t>& sizes,
               Make make) {
  Slope bytes{name + ": bytes", unit, {}, 0, 0, 0};
  Slope send{name + ": encode and seal, CPU us", unit, {}, 0, 0, 0};
  Slope take{name + ": check and decode, CPU us", unit, {}, 0, 0, 0};
  for (const std::size_t size : sizes) {
    const auto x = static_cast<double>(size);
    const StateMessage message = make(size);
    const std::string sealed = Seal(kKey, "", Encode(message));
    bytes.points.push_back(PointOf(x, {static_cast<double>(sealed.size())}));
    send.points.push_back(PointOf(x, TimeCalls(kCalls, [&message](std::size_t) {
                                    const std::string out =
                                        Seal(kKey, "", Encode(message));
                                  })));
    take.points.push_back(
        PointOf(x, TimeCalls(kCalls, [&sealed](std::size_t) {
                  TryOr(
                      [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(payload, Unseal(kKey, "", sealed));
                        BOOST_LEAF_CHECK(DecodeState(payload));
                        return {};
                      },
                      [](const Error&) {});
                })));
  }
  slopes.push_back(Fitted(bytes));
  slopes.push_back(Fitted(send));
  slopes.push_back(Fitted(take));
}

ConfigChange BlockChange(std::uint64_t version) {
  ConfigChange change;
  change.version = version;
  change.command_id = "svealand-1-a-1796205296277946-1";
  change.operation = AssignBlock{static_cast<std::uint32_t>(version << 8U), 24,
                                 RegionIndex{1}};
  return change;
}

void AddConfigSlopes(std::vector<Slope>& slopes) {
  Slope bytes{"configuration update: bytes", "changes", {}, 0, 0, 0};
  Slope apply{"configuration change: decode and apply, CPU us a change",
              "changes in the update",
              {},
              0,
              0,
              0};
  for (const std::size_t size : {1, 4, 16, 64, 128}) {
    ConfigUpdate update;
    for (std::size_t i = 1; i <= size; ++i) {
      update.changes.push_back(BlockChange(i));
    }
    const std::string encoded = Encode(PeerMessage(update));
    const auto x = static_cast<double>(size);
    bytes.points.push_back(PointOf(x, {static_cast<double>(encoded.size())}));
    std::vector<double> runs = TimeCalls(200, [&encoded](std::size_t) {
      ConfigLog log(512);
      const PeerMessage message =
          TryOr([&] { return DecodePeer(encoded); },
                [](const Error&) { return PeerMessage(ConfigPull{}); });
      log.Apply(std::get<ConfigUpdate>(message).changes);
    });
    for (double& micros : runs) {
      micros /= x;
    }
    apply.points.push_back(PointOf(x, runs));
  }
  slopes.push_back(Fitted(bytes));
  slopes.push_back(Fitted(apply));
}

void AddEventSlopes(std::vector<Slope>& slopes) {
  Slope cost{"time line: one event to JSON, CPU us",
             "characters of text",
             {},
             0,
             0,
             0};
  for (const std::size_t size : {20, 80, 160, 320}) {
    Event event;
    event.host = "svealand-1-a";
    event.subject = "661a3d552e862-3ec";
    event.text = std::string(size, 'x');
    cost.points.push_back(PointOf(static_cast<double>(size),
                                  TimeCalls(kCalls, [&event](std::size_t) {
                                    const std::string line = ToJsonLine(event);
                                  })));
  }
  slopes.push_back(Fitted(cost));
}

}  // namespace

std::vector<Slope> MessageSlopes() {
  std::vector<Slope> slopes;
  AddSlopes(slopes, "heartbeat", "services", {1, 2, 4, 8, 16}, HeartbeatWith);
  AddSlopes(slopes, "gossip", "summaries", {1, 3, 6, 9, 12}, GossipWith);
  AddConfigSlopes(slopes);
  AddEventSlopes(slopes);
  return slopes;
}

}  // namespace pathcleat
