// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <QTcpSocket>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "pathcleat/core/error.hpp"
#include "pathcleat/wire/peer_message.hpp"

namespace pathcleat {

/// @brief One TCP connection between two hosts that carries sealed messages.
/// The accepting end opens with a challenge; every frame's MAC covers the
/// challenge, the direction and a counter, so that no frame can be replayed.
/// Lives in one thread's event loop.
/// @ingroup wire
class PeerLink : public QObject {
 public:
  /// @brief The connecting end; messages wait until the challenge is there.
  PeerLink(const std::string& address,
           std::uint16_t port,
           std::string key,
           QObject* parent);

  /// @brief The accepting end; owns the descriptor.
  PeerLink(qintptr descriptor, std::string key, QObject* parent);

  ~PeerLink() override;

  void OnMessage(std::function<void(PeerMessage)> callback);

  /// @brief Called once when the link has ended, with the reason.
  void OnClosed(std::function<void(const Error&)> callback);

  /// @brief Sends, or keeps until the link is up.
  void Send(const PeerMessage& message);

  /// @brief Whether messages have been handed to the network; while false,
  /// none of what was given to Send has left this host.
  bool HasSent() const { return has_sent_; }

  bool IsOpen() const { return !closed_; }
  const std::string& peer() const { return peer_; }

 private:
  void Connect();
  void OnReadable();
  bool TakeFrame();
  void OnChallenge(std::string_view payload);
  void WriteFrame(const PeerMessage& message);
  std::string Context(bool outgoing, std::uint64_t count) const;
  void Close(const Error& error);

  QTcpSocket* socket_;
  std::string key_;
  std::string peer_;
  bool accepting_;
  std::string nonce_;
  std::uint64_t sent_count_ = 0;
  std::uint64_t received_count_ = 0;
  std::deque<PeerMessage> unsent_;
  QByteArray received_;
  std::function<void(PeerMessage)> on_message_;
  std::function<void(const Error&)> on_closed_;
  bool has_sent_ = false;
  bool closed_ = false;
};

}  // namespace pathcleat
