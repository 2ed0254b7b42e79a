// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/relay_client.hpp"

#include <QTimer>
#include <utility>

namespace pathcleat {
namespace {

constexpr Duration kRetryAfterUnreachable{500'000};
// After its deadline a request waits this long for a late word of its peer.
constexpr std::chrono::milliseconds kGrace{50};

RelayRequest ToRelay(const RunRequest& request, bool at_owner) {
  RelayRequest relay;
  relay.id = request.id;
  relay.service = request.service;
  relay.kind = request.kind_index;
  relay.at_owner = at_owner;
  relay.time_left_us = (request.deadline - BootClock::now()).count();
  relay.method = request.http.method;
  relay.target = request.http.target;
  relay.headers = request.http.headers;
  relay.body = request.http.body;
  return relay;
}

RunResult ToRunResult(RelayAnswer answer) {
  RunResult result;
  result.outcome = answer.outcome;
  result.refusal = {answer.refusal, Duration(answer.retry_after_us)};
  result.response = {answer.status, std::move(answer.headers),
                     std::move(answer.body)};
  result.note = std::move(answer.note);
  result.load = answer.load;
  return result;
}

}  // namespace

class RelayClient::Handle : public RunHandle {
 public:
  Handle(RelayClient* client, SeatIndex seat, const RequestId& id)
      : client_(client), seat_(seat), id_(id) {}
  void Cancel() override { client_->Cancel(seat_, id_); }

 private:
  RelayClient* client_;
  SeatIndex seat_;
  RequestId id_;
};

RelayClient::RelayClient(Shared& shared, QObject* parent)
    : QObject(parent), shared_(shared) {}

RunHandlePtr RelayClient::Run(SeatIndex seat,
                              bool at_owner,
                              const RunRequestPtr& request,
                              RunCallback callback) {
  Channel& channel = ChannelTo(seat);
  channel.waiting[request->id] = {std::move(callback), request};
  channel.link->Send(PeerMessage(ToRelay(*request, at_owner)));
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      request->deadline - BootClock::now());
  QTimer::singleShot(std::max(left, std::chrono::milliseconds(0)) + kGrace,
                     this,
                     [this, seat, id = request->id] { OnDeadline(seat, id); });
  return std::make_shared<Handle>(this, seat, request->id);
}

RelayClient::Channel& RelayClient::ChannelTo(SeatIndex seat) {
  Channel& channel = channels_[seat];
  if (channel.link == nullptr) {
    const Seat& target = shared_.settings.deployment.At(seat);
    channel.link = new PeerLink(target.address, target.peer_port,
                                shared_.settings.peer_key, this);
    channel.link->OnMessage([this, seat](PeerMessage message) {
      OnMessage(seat, std::move(message));
    });
    channel.link->OnClosed(
        [this, seat](const Error& error) { OnClosed(seat, error); });
  }
  return channel;
}

void RelayClient::OnMessage(SeatIndex seat, PeerMessage message) {
  auto* answer = std::get_if<RelayAnswer>(&message);
  if (answer == nullptr) {
    return;
  }
  auto node = channels_[seat].waiting.extract(answer->id);
  if (!node.empty()) {
    node.mapped().callback(ToRunResult(std::move(*answer)));
  }
}

void RelayClient::OnClosed(SeatIndex seat, const Error& error) {
  Channel& channel = channels_[seat];
  PeerLink* link = std::exchange(channel.link, nullptr);
  const bool nothing_left = !link->HasSent();
  link->deleteLater();
  if (error.code == ErrorCode::kUnauthorized) {
    shared_.events.Record(EventCode::kPeerRejected, error.peer, error.detail);
  }
  for (auto& [id, waiting] : std::exchange(channel.waiting, {})) {
    const std::string note = "relay to " +
                             shared_.settings.deployment.At(seat).name + ": " +
                             ToString(error);
    waiting.callback(nothing_left ? NotRun(RefusalReason::kNoCapacity,
                                           kRetryAfterUnreachable, note)
                                  : MayHaveRun(note));
  }
}

void RelayClient::OnDeadline(SeatIndex seat, const RequestId& id) {
  Channel& channel = channels_[seat];
  auto node = channel.waiting.extract(id);
  if (node.empty()) {
    return;
  }
  const bool unsent = channel.link == nullptr || !channel.link->HasSent();
  const std::string note = "no answer by the deadline from " +
                           shared_.settings.deployment.At(seat).name;
  if (unsent && channel.link != nullptr) {
    // The link never came up; what it keeps must not be sent later.
    PeerLink* link = channel.link;
    OnClosed(seat, {ErrorCode::kUnreachable, "connect", link->peer(),
                    "no connection by the deadline"});
    node.mapped().callback(
        NotRun(RefusalReason::kNoCapacity, kRetryAfterUnreachable, note));
    return;
  }
  node.mapped().callback(MayHaveRun(note));
}

void RelayClient::Cancel(SeatIndex seat, const RequestId& id) {
  Channel& channel = channels_[seat];
  if (channel.waiting.contains(id) && channel.link != nullptr) {
    channel.link->Send(PeerMessage(RelayCancel{id}));
  }
}

}  // namespace pathcleat
