// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "receive_buffer.hpp"
#include "server_session.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kSweepInterval{500};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Maximum number of connections that one eviction closes. Ranking all
// connections costs more than closing several of them, so each ranking is used
// for a batch.
constexpr std::size_t kEvictionBatch = 16;

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& loop,
                       HttpExchangeHandler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      acceptor_(loop),
      sweep_timer_(loop),
      accept_timer_(loop) {}

HttpServer::~HttpServer() {
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) {
    session->Detach();
  }
}

Result<std::uint16_t> HttpServer::Listen(const std::string& address,
                                         std::uint16_t port) {
  error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  const tcp::endpoint endpoint(ip, port);
  if (!error) {
    acceptor_.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error && memory_budget_) {
    LimitReceiveBuffers(acceptor_);
  }
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail({ErrorCode::kRefused, "listen",
                 address + ":" + std::to_string(port), error.message()});
  }
  acceptor_.non_blocking(true, error);
  Accept();
  Sweep();
  return acceptor_.local_endpoint(error).port();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      OnAcceptFailed();
      return;
    }
    can_accept_ = true;
    Run(EntryPoint::kListener, "accept",
        [&] { OpenSession(std::move(socket)); });
    Accept();
  });
}

// Accepting fails if no file descriptor is free. Connections are evicted to
// free some; if none can be evicted, accepting is retried later, when answered
// requests have released descriptors.
void HttpServer::OnAcceptFailed() {
  if (EvictConnections()) {
    Accept();
    return;
  }
  can_accept_ = false;
  RetryAccept();
}

void HttpServer::RetryAccept() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](const error_code& error) {
    if (!error && acceptor_.is_open()) {
      Accept();
    }
  });
}

bool HttpServer::EvictConnections() {
  std::vector<std::pair<EvictionRank, std::shared_ptr<ServerSession>>> ranked;
  for (const auto& session : sessions_) {
    if (const auto rank = session->RankForEviction()) {
      ranked.emplace_back(*rank, session);
    }
  }
  const std::size_t evicted_count = std::min(ranked.size(), kEvictionBatch);
  std::partial_sort(
      ranked.begin(),
      ranked.begin() + static_cast<std::ptrdiff_t>(evicted_count), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (std::size_t i = 0; i < evicted_count; ++i) {
    ranked[i].second->Evict(RejectionCause::kTooManyConnections);
  }
  return evicted_count > 0;
}

void HttpServer::OpenSession(tcp::socket socket) {
  const bool full =
      max_connections_ > 0 && sessions_.size() >= max_connections_;
  const bool rejected = full && !EvictConnections();
  const auto session =
      std::make_shared<ServerSession>(*this, std::move(socket));
  sessions_.insert(session);
  if (rejected) {
    session->Evict(RejectionCause::kTooManyConnections);
  } else if (!session->ReserveMemory()) {
    session->Evict(RejectionCause::kNoMemory);
  } else {
    session->Start();
  }
}

void HttpServer::CheckTimeouts() {
  const Time now = BootClock::now();
  const std::vector<std::shared_ptr<ServerSession>> sessions(sessions_.begin(),
                                                             sessions_.end());
  for (const auto& session : sessions) {
    session->CheckTimeouts(now);
  }
}

void HttpServer::Sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const error_code& error) {
    if (error) {
      return;
    }
    Run(EntryPoint::kListener, "sweep", [this] { CheckTimeouts(); });
    Sweep();
  });
}

void HttpServer::StopAccepting() {
  error_code error;
  while (acceptor_.is_open() && !error) {
    tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) {
      OpenSession(std::move(socket));
    }
  }
  acceptor_.close(error);
}

void HttpServer::CloseGracefully() {
  close_after_answers_ = true;
  const std::vector<std::shared_ptr<ServerSession>> sessions(sessions_.begin(),
                                                             sessions_.end());
  for (const auto& session : sessions) {
    session->CloseGracefully();
  }
}

}  // namespace pathcleat
