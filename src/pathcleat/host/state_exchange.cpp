// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/state_exchange.hpp"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <algorithm>
#include <utility>

#include "pathcleat/wire/codec.hpp"
#include "pathcleat/wire/seal.hpp"

namespace pathcleat {
namespace {

constexpr const char* kSealContext = "pathcleat state";
// Hosts of other failure domains told in each round.
constexpr std::size_t kGossipFanout = 2;
// A gossip message stays within one datagram on common links.
constexpr std::size_t kMostSummaryBytes = 1'100;
// A summary's bytes without its lists, and those of one entry; checked by
// state_message_test.
constexpr std::size_t kSummaryBytes = 60;
constexpr std::size_t kLoadBytes = 12;
constexpr std::size_t kSeatBytes = 2;
constexpr Duration kReportRejectedEvery{1'000'000};

std::size_t BytesOf(const DomainSummary& summary) {
  return kSummaryBytes + summary.loads.size() * kLoadBytes +
         (summary.contacts.size() + summary.silent.size()) * kSeatBytes;
}

}  // namespace

StateExchange::StateExchange(Shared& shared, QObject* parent)
    : QObject(parent), shared_(shared), random_(shared.incarnation) {
  connect(&socket_, &QUdpSocket::readyRead, this, [this] { OnReadable(); });
}

Result<void> StateExchange::Bind() {
  const Seat& self = shared_.settings.self();
  if (!socket_.bind(QHostAddress(QString::fromStdString(self.address)),
                    self.peer_port)) {
    return Fail({ErrorCode::kUnreachable, "bind datagram socket",
                 self.address + ":" + std::to_string(self.peer_port),
                 socket_.errorString().toStdString()});
  }
  return {};
}

void StateExchange::SetOwnStateSource(std::function<OwnState()> source) {
  own_state_ = std::move(source);
}

void StateExchange::OnPeerVersion(
    std::function<void(SeatIndex, std::uint64_t)> listener) {
  on_peer_version_ = std::move(listener);
}

void StateExchange::OnHostList(
    std::function<void(const std::vector<UpstreamIndex>&)> listener) {
  on_host_list_ = std::move(listener);
}

void StateExchange::SendHeartbeats() {
  const HostSettings& settings = shared_.settings;
  Heartbeat heartbeat = MakeHeartbeat();
  ++sequence_;
  shared_.members.OnSent(sequence_, BootClock::now());
  for (const SeatIndex seat :
       settings.deployment.SeatsIn(settings.self().domain)) {
    if (seat != settings.seat) {
      heartbeat.echoed = shared_.members.EchoFor(seat);
      Send(seat, heartbeat);
    }
  }
}

void StateExchange::SendGossip() {
  ++sequence_;
  const Gossip gossip = MakeGossip();
  for (const SeatIndex seat : GossipTargets()) {
    Send(seat, gossip);
  }
}

// The same for all siblings but for the echo.
Heartbeat StateExchange::MakeHeartbeat() const {
  const OwnState own = own_state_();
  Heartbeat heartbeat;
  heartbeat.config_version = shared_.config.version();
  heartbeat.leaving = shared_.leaving;
  heartbeat.claims = own.claims;
  heartbeat.loads = shared_.owner.Loads();
  heartbeat.has_host_list = own.has_host_list;
  heartbeat.listed_leaving = own.listed_leaving;
  return heartbeat;
}

Gossip StateExchange::MakeGossip() {
  const Time now = BootClock::now();
  Gossip gossip;
  gossip.config_version = shared_.config.version();
  gossip.summaries.push_back(shared_.members.OwnSummary(
      shared_.owner.Loads(), gossip.config_version, shared_.leaving, now));
  std::size_t bytes = BytesOf(gossip.summaries.front());
  const auto domains = shared_.members.Domains();
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const DomainState& state = domains[gossip_turn_ % domains.size()];
    bytes += BytesOf(state.summary);
    if (bytes > kMostSummaryBytes) {
      break;
    }
    ++gossip_turn_;
    DomainSummary summary = state.summary;
    summary.age_ms = static_cast<std::uint32_t>(
        std::max<Duration::rep>(0, (now - state.observed).count() / 1'000));
    gossip.summaries.push_back(std::move(summary));
  }
  return gossip;
}

std::vector<SeatIndex> StateExchange::GossipTargets() {
  const Deployment& deployment = shared_.settings.deployment;
  std::vector<SeatIndex> others;
  for (const SeatIndex seat : IndicesOf<SeatIndex>(deployment.seats)) {
    if (deployment.At(seat).domain != shared_.settings.self().domain) {
      others.push_back(seat);
    }
  }
  std::vector<SeatIndex> targets;
  std::sample(others.begin(), others.end(), std::back_inserter(targets),
              kGossipFanout, random_);
  return targets;
}

void StateExchange::Send(SeatIndex seat,
                         const std::variant<Heartbeat, Gossip>& body) {
  StateMessage message;
  message.sender = shared_.settings.seat;
  message.incarnation = shared_.incarnation;
  message.sequence = sequence_;
  message.time = shared_.events.clock().Tick(WallMicros());
  message.body = body;
  const std::string sealed =
      Seal(shared_.settings.peer_key, kSealContext, Encode(message));
  const Seat& target = shared_.settings.deployment.At(seat);
  socket_.writeDatagram(sealed.data(), static_cast<qint64>(sealed.size()),
                        QHostAddress(QString::fromStdString(target.address)),
                        target.peer_port);
  ++traffic_.sent_messages;
  traffic_.sent_bytes += sealed.size();
}

void StateExchange::OnReadable() {
  while (socket_.hasPendingDatagrams()) {
    const QNetworkDatagram datagram = socket_.receiveDatagram();
    if (!datagram.isValid()) {
      return;
    }
    OnDatagram(datagram.data().toStdString(),
               datagram.senderAddress().toString().toStdString());
  }
}

void StateExchange::OnDatagram(const std::string& bytes,
                               const std::string& from) {
  ++traffic_.received_messages;
  traffic_.received_bytes += bytes.size();
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(payload,
                        Unseal(shared_.settings.peer_key, kSealContext, bytes));
        BOOST_LEAF_AUTO(message, DecodeState(payload));
        const bool known =
            message.sender.value < shared_.settings.deployment.seats.size();
        if (!known || !guard_.Accept(message, WallMicros())) {
          return {};  // Repeated, overtaken, or not of this deployment.
        }
        shared_.events.clock().Observe(message.time, WallMicros());
        std::visit([&](const auto& body) { Take(message, body); },
                   message.body);
        return {};
      },
      [this, &from](const Error& error) {
        ReportRejected(from, error.step + ": " + error.detail);
      });
}

void StateExchange::Take(const StateMessage& message,
                         const Heartbeat& heartbeat) {
  const Time now = BootClock::now();
  shared_.members.OnHeartbeat(message, heartbeat, now);
  shared_.routes.OnOwnerReport(message.sender, heartbeat.loads, now);
  if (heartbeat.has_host_list && on_host_list_) {
    on_host_list_(heartbeat.listed_leaving);
  }
  on_peer_version_(message.sender, heartbeat.config_version);
}

void StateExchange::Take(const StateMessage& message, const Gossip& gossip) {
  const Time now = BootClock::now();
  for (const DomainSummary& summary : shared_.members.OnGossip(gossip, now)) {
    shared_.routes.OnDomainReport(
        summary, now - std::chrono::milliseconds(summary.age_ms));
  }
  on_peer_version_(message.sender, gossip.config_version);
}

// A flood of wrong datagrams must not become a flood of events.
void StateExchange::ReportRejected(const std::string& from,
                                   const std::string& why) {
  const Time now = BootClock::now();
  if (now - last_rejection_ < kReportRejectedEvery) {
    return;
  }
  last_rejection_ = now;
  shared_.events.Record(EventCode::kPeerRejected, from, why);
}

}  // namespace pathcleat
