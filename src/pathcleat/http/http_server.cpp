// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_server.hpp"

#include <poll.h>

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

// Whether accepting failed for want of file descriptors or kernel memory.
bool IsShortage(const error_code& error) {
  return error == boost::asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::asio::error::no_memory;
}

// Whether a connection waits to be accepted.
bool HasBacklog(tcp::acceptor& acceptor) {
  pollfd entry{acceptor.native_handle(), POLLIN, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLIN) != 0;
}

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
  BOOST_LEAF_CHECK(Bind(address, port));
  BOOST_LEAF_CHECK(StartAccepting());
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

Result<void> HttpServer::Bind(const std::string& address, std::uint16_t port) {
  error_code error;
  endpoint_ =
      tcp::endpoint(boost::asio::ip::make_address(address, error), port);
  if (!error) {
    acceptor_.open(endpoint_.protocol(), error);
  }
  // Connections of an earlier process that are still being closed do not keep
  // the port. Unlike SO_REUSEPORT, this lets no two processes listen at once.
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.non_blocking(true, error);
  }
  if (!error) {
    acceptor_.bind(endpoint_, error);
  }
  if (error) {
    return FailToListen(address + ":" + std::to_string(port), error);
  }
  if (memory_budget_) {
    LimitReceiveBuffers(acceptor_);
  }
  return {};
}

Result<void> HttpServer::StartAccepting() {
  error_code error;
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return FailToListen(endpoint_.address().to_string() + ":" +
                            std::to_string(endpoint_.port()),
                        error);
  }
  Accept();
  Sweep();
  return {};
}

void HttpServer::CloseListener() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  sweep_timer_.cancel();
}

boost::leaf::error_id HttpServer::FailToListen(const std::string& address,
                                               const error_code& error) {
  CloseListener();
  const bool in_use = error == boost::asio::error::address_in_use;
  return Fail({in_use ? ErrorCode::kInUse : ErrorCode::kRefused, "listen",
               address, error.message()});
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (IsShortage(error)) {
      if (!Run(EntryPoint::kListener, "accept", [this] { OnAcceptFailed(); })) {
        RetryAccept();
      }
      return;
    }
    if (error) {
      // An error of one connection or of the network, which no eviction ends.
      RetryAccept();
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

// Sessions are opened at the end, so that no accepted connection is evicted for
// the next one. Without a free descriptor, accepting fails whether or not a
// connection waits.
void HttpServer::StopAccepting() {
  std::vector<tcp::socket> accepted;
  error_code error;
  while (acceptor_.is_open() && !error) {
    tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) {
      accepted.push_back(std::move(socket));
    } else if (IsShortage(error) && HasBacklog(acceptor_) &&
               EvictConnections()) {
      error.clear();
    }
  }
  acceptor_.close(error);
  for (tcp::socket& socket : accepted) {
    OpenSession(std::move(socket));
  }
}

bool HttpServer::IsWriting() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->IsWriting(); });
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
