// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/peer_server.hpp"

#include <QPointer>
#include <unordered_map>
#include <utility>

namespace pathcleat {
namespace {

RelayAnswer ToAnswer(const RequestId& id, RunResult result) {
  RelayAnswer answer;
  answer.id = id;
  answer.outcome = result.outcome;
  answer.refusal = result.refusal.reason;
  answer.retry_after_us = result.refusal.retry_after.count();
  answer.status = result.response.status;
  answer.headers = std::move(result.response.headers);
  answer.body = std::move(result.response.body);
  answer.note = std::move(result.note);
  answer.load = result.load;
  return answer;
}

}  // namespace

// One link from another host. Runs started by it outlive it: their slots are
// freed whatever becomes of the link.
class PeerServer::Session : public QObject {
 public:
  Session(qintptr descriptor,
          Shared& shared,
          DomainRunner& runner,
          QObject* parent)
      : QObject(parent),
        shared_(shared),
        runner_(runner),
        link_(descriptor, shared.settings.peer_key, this) {
    link_.OnMessage(
        [this](PeerMessage message) { std::visit(*this, std::move(message)); });
    link_.OnClosed([this](const Error& error) { OnClosed(error); });
  }

  void operator()(RelayRequest relay) {
    const auto& services = shared_.settings.deployment.services;
    const bool valid = relay.service.value < services.size() &&
                       relay.kind < services[relay.service.value].kinds.size();
    if (!valid) {
      link_.Send(PeerMessage(
          ToAnswer(relay.id, NotRun(RefusalReason::kNoCapacity, {},
                                    "service or kind not known here"))));
      return;
    }
    const RequestId id = relay.id;
    const bool at_owner = relay.at_owner;
    const RunRequestPtr request = ToRequest(std::move(relay));
    RunCallback done = [self = QPointer<Session>(this), id](RunResult result) {
      if (self) {
        self->handles_.erase(id);
        self->finished_ = id;
        self->link_.Send(PeerMessage(ToAnswer(id, std::move(result))));
      }
    };
    finished_ = RequestId{};
    const RunHandlePtr handle =
        at_owner ? runner_.RunHere(request, std::move(done))
                 : runner_.RunInDomain(request, std::move(done));
    if (handle && finished_ != id) {
      handles_[id] = handle;
    }
  }

  void operator()(RelayCancel cancel) { CancelRun(cancel.id); }

  void operator()(ConfigPull pull) {
    link_.Send(PeerMessage(shared_.config.UpdateAfter(pull.after)));
  }

  // Only the accepting end sends these.
  void operator()(const ConfigUpdate&) {}
  void operator()(const Challenge&) {}
  void operator()(const RelayAnswer&) {}

 private:
  RunRequestPtr ToRequest(RelayRequest relay) const {
    auto request = std::make_shared<RunRequest>();
    const Service& service = shared_.settings.deployment.At(relay.service);
    request->id = relay.id;
    request->service = relay.service;
    request->kind_index = relay.kind;
    request->kind = service.kinds[relay.kind];
    request->deadline = BootClock::now() + Duration(relay.time_left_us);
    request->http = {std::move(relay.method), std::move(relay.target),
                     std::move(relay.headers), std::move(relay.body)};
    return request;
  }

  void CancelRun(const RequestId& id) {
    auto node = handles_.extract(id);
    if (!node.empty()) {
      node.mapped()->Cancel();
    }
  }

  void OnClosed(const Error& error) {
    if (error.code == ErrorCode::kUnauthorized) {
      shared_.events.Record(EventCode::kPeerRejected, error.peer, error.detail);
    }
    for (auto& [id, handle] : std::exchange(handles_, {})) {
      handle->Cancel();
    }
    deleteLater();
  }

  Shared& shared_;
  DomainRunner& runner_;
  PeerLink link_;
  RequestId finished_;
  std::unordered_map<RequestId, RunHandlePtr, RequestIdHash> handles_;
};

PeerServer::PeerServer(Shared& shared, DomainRunner& runner, QObject* parent)
    : QObject(parent), shared_(shared), runner_(runner) {}

void PeerServer::Accept(qintptr descriptor) {
  new Session(descriptor, shared_, runner_, this);
}

}  // namespace pathcleat
