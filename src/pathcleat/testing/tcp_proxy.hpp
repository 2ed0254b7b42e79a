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
#include <map>
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

/// @brief How the connections of one caller are cut.
enum class CutMode {
  kHang,       ///< bytes stand still; new connections open and say nothing
  kReset,      ///< open connections and new ones are reset
  kRefuseNew,  ///< open connections live on; new ones are reset
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

  /// @brief Cuts the connections that come from an IP address, the open ones
  /// and those accepted later.
  void Cut(const std::string& caller, CutMode mode) {
    cuts_[caller] = mode;
    for (const auto& link : links_) {
      if (link->caller_ip != caller || link->closed) {
        continue;
      }
      if (mode == CutMode::kHang) {
        link->silent = true;
      } else if (mode == CutMode::kReset) {
        Reset(*link);
      }
    }
  }

  /// @brief Ends the cut. Connections that stood still are reset: the bytes
  /// that they held are lost.
  void EndCut(const std::string& caller) {
    cuts_.erase(caller);
    for (const auto& link : links_) {
      if (link->caller_ip == caller && link->silent) {
        Reset(*link);
      }
    }
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
        : caller(std::move(from)), target(loop) {
      boost::system::error_code error;
      caller_ip = caller.remote_endpoint(error).address().to_string();
    }
    void Close() {
      closed = true;
      boost::system::error_code error;
      caller.close(error);
      target.close(error);
    }
    std::string caller_ip;
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

  static void Reset(Link& link) {
    boost::system::error_code error;
    link.caller.set_option(boost::asio::socket_base::linger(true, 0), error);
    link.Close();
  }

  void Open(const LinkPtr& link) {
    links_.push_back(link);
    const auto cut = cuts_.find(link->caller_ip);
    if (cut != cuts_.end()) {
      link->silent = true;
      if (cut->second != CutMode::kHang) {
        Reset(*link);
      }
      return;
    }
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
  std::map<std::string, CutMode> cuts_;  ///< by the caller's IP address
  int accepted_count_ = 0;
};

}  // namespace pathcleat
