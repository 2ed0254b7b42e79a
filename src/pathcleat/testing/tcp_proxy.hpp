// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathcleat {

/// @brief How connections are made silent.
enum class SilenceMode {
  kDropPackets,     ///< incoming packets are dropped and not acknowledged
  kStopForwarding,  ///< data is acknowledged but no longer forwarded
};

/// @brief Forwards TCP connections to another address. Open connections can be
/// made silent permanently, without a close or a reset; connections accepted
/// later are forwarded as usual.
class TcpProxy {
 public:
  TcpProxy(boost::asio::io_context& loop,
           const std::string& address,
           boost::asio::ip::tcp::endpoint target)
      : loop_(loop),
        target_(std::move(target)),
        acceptor_(loop, {boost::asio::ip::make_address(address), 0}) {
    Accept();
  }
  ~TcpProxy() {
    for (const auto& link : links_) {
      link->Close();
    }
  }
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  std::string address() const {
    return endpoint().address().to_string() + ":" +
           std::to_string(endpoint().port());
  }

  /// @brief Number of connections accepted so far.
  int accepted_count() const { return accepted_count_; }

  /// @brief Number of accepted connections that still forward bytes.
  int forwarding_count() const {
    int forwarding_count = 0;
    for (const auto& link : links_) {
      forwarding_count += link->silent || link->closed ? 0 : 1;
    }
    return forwarding_count;
  }

  void SilenceConnections(SilenceMode mode) {
    for (const auto& link : links_) {
      link->silent = true;
      if (mode == SilenceMode::kDropPackets) {
        DropAllPackets(link->caller);
        DropAllPackets(link->target);
      }
    }
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Link {
    Link(Socket from, boost::asio::io_context& loop)
        : caller(std::move(from)), target(loop) {}
    void Close() {
      closed = true;
      boost::system::error_code error;
      caller.close(error);
      target.close(error);
    }
    Socket caller;
    Socket target;
    std::array<char, 16384> to_target{};
    std::array<char, 16384> to_caller{};
    bool silent = false;
    bool closed = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  // Makes the kernel drop every packet that arrives for the socket before TCP
  // processes the packet.
  static void DropAllPackets(Socket& socket) {
    sock_filter drop_filter{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_filter};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof program);
  }

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Socket socket) {
          if (!error) {
            ++accepted_count_;
            Open(std::make_shared<Link>(std::move(socket), loop_));
            Accept();
          }
        });
  }

  void Open(const LinkPtr& link) {
    links_.push_back(link);
    link->target.async_connect(
        target_, [link](const boost::system::error_code& error) {
          if (error) {
            link->Close();
            return;
          }
          Forward(link, link->caller, link->target, link->to_target);
          Forward(link, link->target, link->caller, link->to_caller);
        });
  }

  static void Forward(const LinkPtr& link,
                      Socket& from,
                      Socket& to,
                      std::array<char, 16384>& buffer) {
    from.async_read_some(
        boost::asio::buffer(buffer),
        [link, &from, &to, &buffer](const boost::system::error_code& error,
                                    std::size_t bytes) {
          if (link->silent) {
            return;
          }
          if (error) {
            link->Close();
            return;
          }
          boost::asio::async_write(
              to, boost::asio::buffer(buffer, bytes),
              [link, &from, &to, &buffer](
                  const boost::system::error_code& failed, std::size_t) {
                if (!failed && !link->silent) {
                  Forward(link, from, to, buffer);
                }
              });
        });
  }

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<LinkPtr> links_;
  int accepted_count_ = 0;
};

}  // namespace pathcleat
