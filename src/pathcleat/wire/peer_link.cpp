// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/wire/peer_link.hpp"

#include <QHostAddress>
#include <QtEndian>
#include <utility>

#include "pathcleat/wire/codec.hpp"
#include "pathcleat/wire/seal.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr qsizetype kLengthBytes = 4;
constexpr std::uint32_t kLongestFrame = 80U * 1024 * 1024;

}  // namespace

PeerLink::PeerLink(const std::string& address,
                   std::uint16_t port,
                   std::string key,
                   QObject* parent)
    : QObject(parent),
      socket_(new QTcpSocket(this)),
      key_(std::move(key)),
      peer_(address + ":" + std::to_string(port)),
      accepting_(false) {
  Connect();
  socket_->connectToHost(QHostAddress(QString::fromStdString(address)), port);
}

PeerLink::PeerLink(qintptr descriptor, std::string key, QObject* parent)
    : QObject(parent),
      socket_(new QTcpSocket(this)),
      key_(std::move(key)),
      accepting_(true),
      nonce_(RandomBytes(kNonceBytes)) {
  Connect();
  socket_->setSocketDescriptor(descriptor);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  peer_ = socket_->peerAddress().toString().toStdString();
  // The challenge goes unsealed: it is what the seals are made of.
  const std::string bytes = Encode(PeerMessage(Challenge{nonce_}));
  const auto length = qToBigEndian(static_cast<std::uint32_t>(bytes.size()));
  socket_->write(reinterpret_cast<const char*>(&length), kLengthBytes);
  socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

PeerLink::~PeerLink() {
  socket_->disconnect(this);
}

void PeerLink::Connect() {
  connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    Close({ErrorCode::kUnreachable, "relay", peer_, "connection closed"});
  });
  connect(socket_, &QTcpSocket::errorOccurred, this, [this](auto) {
    if (socket_->state() != QAbstractSocket::ConnectedState) {
      Close({ErrorCode::kUnreachable, "connect", peer_,
             socket_->errorString().toStdString()});
    }
  });
}

void PeerLink::OnMessage(std::function<void(PeerMessage)> callback) {
  on_message_ = std::move(callback);
}

void PeerLink::OnClosed(std::function<void(const Error&)> callback) {
  on_closed_ = std::move(callback);
}

void PeerLink::Send(const PeerMessage& message) {
  if (closed_) {
    return;
  }
  if (nonce_.empty()) {
    unsent_.push_back(message);
    return;
  }
  WriteFrame(message);
}

std::string PeerLink::Context(bool outgoing, std::uint64_t count) const {
  const bool from_acceptor = outgoing == accepting_;
  return nonce_ + (from_acceptor ? "A" : "C") + std::to_string(count);
}

void PeerLink::WriteFrame(const PeerMessage& message) {
  const std::string sealed =
      Seal(key_, Context(true, sent_count_++), Encode(message));
  const auto length = qToBigEndian(static_cast<std::uint32_t>(sealed.size()));
  has_sent_ = true;
  socket_->write(reinterpret_cast<const char*>(&length), kLengthBytes);
  socket_->write(sealed.data(), static_cast<qint64>(sealed.size()));
}

void PeerLink::OnReadable() {
  received_.append(socket_->readAll());
  while (!closed_ && TakeFrame()) {
  }
}

bool PeerLink::TakeFrame() {
  if (received_.size() < kLengthBytes) {
    return false;
  }
  const auto length = qFromBigEndian<std::uint32_t>(received_.constData());
  if (length > kLongestFrame) {
    Close({ErrorCode::kInvalid, "read frame", peer_, "frame too long"});
    return false;
  }
  const qsizetype whole = kLengthBytes + static_cast<qsizetype>(length);
  if (received_.size() < whole) {
    return false;
  }
  const std::string frame = received_.mid(kLengthBytes, length).toStdString();
  received_.remove(0, whole);
  if (nonce_.empty()) {
    OnChallenge(frame);
    return true;
  }
  const std::string context = Context(false, received_count_++);
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(payload, Unseal(key_, context, frame));
        BOOST_LEAF_AUTO(message, DecodePeer(payload));
        if (on_message_) {
          on_message_(std::move(message));
        }
        return {};
      },
      [this](const Error& error) {
        Close({error.code, error.step, peer_, error.detail});
      });
  return true;
}

void PeerLink::OnChallenge(std::string_view payload) {
  const PeerMessage message =
      TryOr([&] { return DecodePeer(payload); },
            [](const Error&) { return PeerMessage(ConfigPull{}); });
  const auto* challenge = std::get_if<Challenge>(&message);
  if (challenge == nullptr || challenge->nonce.size() != kNonceBytes) {
    Close({ErrorCode::kInvalid, "read challenge", peer_, "no challenge"});
    return;
  }
  nonce_ = challenge->nonce;
  for (const PeerMessage& waiting : std::exchange(unsent_, {})) {
    WriteFrame(waiting);
  }
}

void PeerLink::Close(const Error& error) {
  if (std::exchange(closed_, true)) {
    return;
  }
  socket_->disconnect(this);
  socket_->abort();
  if (const auto callback = std::exchange(on_closed_, nullptr)) {
    callback(error);
  }
}

}  // namespace pathcleat
