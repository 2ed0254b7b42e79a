// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/worker.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include "pathcleat/host/platform_share.hpp"
#include "pathcleat/host/post.hpp"
#include "pathcleat/platform/http_platform.hpp"

namespace pathcleat {
namespace {

void RefuseConnection(qintptr descriptor) {
  static constexpr char kAnswer[] =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "Pathcleat-Outcome: not-run\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  const int fd = static_cast<int>(descriptor);
  ::send(fd, kAnswer, sizeof kAnswer - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  ::close(fd);
}

}  // namespace

// All objects of one worker; created, used and destroyed in its thread.
class Worker::Core : public QObject {
 public:
  explicit Core(Shared& shared)
      : shared_(shared),
        runner_(shared, this),
        platform_(WorkerPlatformOptions(shared.settings), this),
        keys_(platform_, shared.events, this),
        callers_(shared, runner_, keys_, this),
        peers_(shared, runner_, this) {}

  void AcceptCaller(qintptr descriptor) {
    if (shared_.connections >=
        static_cast<int>(shared_.settings.max_connections)) {
      RefuseConnection(descriptor);
      return;
    }
    ++shared_.connections;
    auto* connection = new HttpServerConnection(
        descriptor, shared_.settings.caller_limits,
        [this](std::string_view method, std::string_view target) {
          return callers_.BodyLimit(method, target);
        },
        [this](const HttpExchangePtr& exchange) { callers_.Handle(exchange); },
        this);
    connection->OnRejected([this](int status, const std::string& caller) {
      shared_.events.Record(EventCode::kCallerInputRejected, caller,
                            "status " + std::to_string(status));
    });
    connections_.insert(connection);
    connect(connection, &QObject::destroyed, this, [this, connection] {
      connections_.erase(connection);
      --shared_.connections;
    });
  }

  void AcceptPeer(qintptr descriptor) { peers_.Accept(descriptor); }

  void FinishCallers() {
    const auto connections = connections_;
    for (HttpServerConnection* connection : connections) {
      connection->FinishAndClose();
    }
  }

  int PendingKeys() const { return keys_.pending(); }

 private:
  Shared& shared_;
  DomainRunner runner_;
  HttpPlatform platform_;
  KeyLedger keys_;
  CallerService callers_;
  PeerServer peers_;
  std::set<HttpServerConnection*> connections_;
};

Worker::Worker(Shared& shared) : shared_(shared), core_(nullptr) {
  auto* starter = new QObject;
  starter->moveToThread(&thread_);
  thread_.start();
  QMetaObject::invokeMethod(
      starter,
      [this, starter] {
        core_ = new Core(shared_);
        delete starter;
      },
      Qt::BlockingQueuedConnection);
}

Worker::~Worker() {
  QMetaObject::invokeMethod(
      core_, [core = core_] { delete core; }, Qt::BlockingQueuedConnection);
  thread_.quit();
  thread_.wait();
}

void Worker::AcceptCaller(qintptr descriptor) {
  Post(core_, [core = core_, descriptor] { core->AcceptCaller(descriptor); });
}

void Worker::AcceptPeer(qintptr descriptor) {
  Post(core_, [core = core_, descriptor] { core->AcceptPeer(descriptor); });
}

void Worker::FinishCallers() {
  Post(core_, [core = core_] { core->FinishCallers(); });
}

int Worker::PendingKeys() {
  int pending = 0;
  QMetaObject::invokeMethod(
      core_, [this, &pending] { pending = core_->PendingKeys(); },
      Qt::BlockingQueuedConnection);
  return pending;
}

}  // namespace pathcleat
