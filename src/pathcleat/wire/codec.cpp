// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/wire/codec.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

namespace pathcleat {
namespace {

template <class Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream stream(std::ios::binary);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return std::move(stream).str();
}

// cereal throws on input it cannot read, bad lengths included.
template <class Message>
Result<Message> DecodeMessage(std::string_view bytes, const char* step) {
  try {
    std::istringstream stream{std::string(bytes), std::ios::binary};
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception& error) {
    return Fail({ErrorCode::kInvalid, step, "peer", error.what()});
  }
}

}  // namespace

std::string Encode(const StateMessage& message) {
  return EncodeMessage(message);
}

std::string Encode(const PeerMessage& message) {
  return EncodeMessage(message);
}

std::string Encode(const ConfigState& state) {
  return EncodeMessage(state);
}

Result<StateMessage> DecodeState(std::string_view bytes) {
  return DecodeMessage<StateMessage>(bytes, "decode datagram");
}

Result<PeerMessage> DecodePeer(std::string_view bytes) {
  return DecodeMessage<PeerMessage>(bytes, "decode frame");
}

Result<ConfigState> DecodeConfigState(std::string_view bytes) {
  return DecodeMessage<ConfigState>(bytes, "decode configuration");
}

}  // namespace pathcleat
