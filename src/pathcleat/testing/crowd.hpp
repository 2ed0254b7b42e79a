// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathcleat {

/// @brief What one connection of a crowd sends: a beginning, then a unit again
/// and again, then an end.
struct CrowdMessage {
  std::string begin;
  std::string unit;
  std::uint64_t unit_bytes = 0;  ///< how many bytes of repeated units
  std::string end;
};

/// @brief Many connections to one listener that send what a test tells them,
/// all at the same time. The connections stay open until the crowd is
/// destroyed.
class Crowd {
 public:
  struct Options {
    bool reads_answers = true;
    int receive_buffer = 0;  ///< bytes, set before connecting; 0: the default
  };

  Crowd(const std::string& address, std::uint16_t port, Options options)
      : options_(options) {
    target_.sin_family = AF_INET;
    target_.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &target_.sin_addr);
  }
  ~Crowd() {
    for (const Member& member : members_) {
      ::close(member.socket);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Add(int count, const CrowdMessage& message) {
    const auto shared = std::make_shared<const Script>(message);
    for (int i = 0; i < count; ++i) {
      Member member;
      member.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      cr_assert_geq(member.socket, 0, "no descriptor for the crowd");
      member.script = shared;
      if (options_.receive_buffer > 0) {
        ::setsockopt(member.socket, SOL_SOCKET, SO_RCVBUF,
                     &options_.receive_buffer, sizeof options_.receive_buffer);
      }
      ::connect(member.socket, reinterpret_cast<const sockaddr*>(&target_),
                sizeof target_);
      members_.push_back(std::move(member));
    }
  }

  /// @brief Sends until each connection has sent all that it should or has been
  /// ended by the host, the host has taken no byte of any connection for some
  /// time, or kMaxSending is over.
  /// @param observe called again and again meanwhile.
  void Send(const std::function<void()>& observe) {
    constexpr std::chrono::seconds kMaxSending{20};
    constexpr std::chrono::seconds kMaxStandstill{2};
    constexpr int kPollMilliseconds = 5;
    const auto started = std::chrono::steady_clock::now();
    auto last_progress = started;
    while (std::chrono::steady_clock::now() - last_progress < kMaxStandstill &&
           std::chrono::steady_clock::now() - started < kMaxSending) {
      std::vector<pollfd> polled;
      std::vector<Member*> open;
      bool sending = false;
      for (Member& member : members_) {
        if (!member.ended) {
          const bool has_more = member.sent < member.script->size();
          sending = sending || has_more;
          const int events =
              (has_more ? POLLOUT : 0) | (options_.reads_answers ? POLLIN : 0);
          polled.push_back({member.socket, static_cast<short>(events), 0});
          open.push_back(&member);
        }
      }
      observe();
      if (!sending) {
        return;
      }
      ::poll(polled.data(), polled.size(), kPollMilliseconds);
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if (Advance(*open[i], polled[i].revents)) {
          last_progress = std::chrono::steady_clock::now();
        }
      }
    }
  }

  /// @brief Sends one more byte on each connection that is still open.
  void SendOneByte() {
    for (Member& member : members_) {
      if (!member.ended) {
        const char byte = 'x';
        member.ended = ::send(member.socket, &byte, 1, MSG_NOSIGNAL) < 0 &&
                       errno != EAGAIN;
      }
    }
  }

  std::size_t size() const { return members_.size(); }

 private:
  /// @brief A message as one stream of bytes, of which only one block is held.
  class Script {
   public:
    explicit Script(const CrowdMessage& message)
        : begin_(message.begin), end_(message.end) {
      constexpr std::size_t kBlockBytes = 256UL * 1024;
      const std::size_t unit = std::max<std::size_t>(1, message.unit.size());
      while (!message.unit.empty() &&
             block_.size() < kBlockBytes - kBlockBytes % unit) {
        block_ += message.unit;
      }
      units_ = message.unit_bytes - message.unit_bytes % unit;
    }
    std::uint64_t size() const { return begin_.size() + units_ + end_.size(); }
    /// @brief Bytes from a position on; at least one unless at the end.
    std::string_view From(std::uint64_t position) const {
      if (position < begin_.size()) {
        return std::string_view(begin_).substr(position);
      }
      position -= begin_.size();
      if (position < units_) {
        const std::string_view rest =
            std::string_view(block_).substr(position % block_.size());
        return rest.substr(0, units_ - position);
      }
      return std::string_view(end_).substr(position - units_);
    }

   private:
    std::string begin_;
    std::string block_;
    std::uint64_t units_ = 0;
    std::string end_;
  };

  struct Member {
    int socket = -1;
    std::shared_ptr<const Script> script;
    std::uint64_t sent = 0;
    bool ended = false;  ///< closed or reset by the host
  };

  // Returns whether bytes were sent or received, or the connection has ended.
  bool Advance(Member& member, int events) const {
    bool progress = false;
    if ((events & (POLLERR | POLLHUP)) != 0) {
      member.ended = true;
      return true;
    }
    if ((events & POLLIN) != 0) {
      std::array<char, 65536> received{};
      const ssize_t count =
          ::recv(member.socket, received.data(), received.size(), 0);
      member.ended = count == 0 || (count < 0 && errno != EAGAIN);
      progress = true;
    }
    if (!member.ended && (events & POLLOUT) != 0) {
      constexpr std::size_t kMaxSendBytes = 64UL * 1024;
      const std::string_view next =
          member.script->From(member.sent).substr(0, kMaxSendBytes);
      const ssize_t count =
          ::send(member.socket, next.data(), next.size(), MSG_NOSIGNAL);
      if (count > 0) {
        member.sent += static_cast<std::uint64_t>(count);
        progress = true;
      } else if (count < 0 && errno != EAGAIN) {
        member.ended = true;
        progress = true;
      }
    }
    return progress;
  }

  Options options_;
  sockaddr_in target_{};
  std::vector<Member> members_;
};

}  // namespace pathcleat
