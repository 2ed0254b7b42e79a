// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/upstream_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

#include "pathcleat/core/outside_bounds.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// Numbers are written with seven bits per byte, low bits first; the highest bit
// of a byte is set if more bytes follow.
constexpr unsigned kBitsPerByte = 7;
constexpr std::uint8_t kContinuationBit = 0x80;
constexpr unsigned kMaxShift = 63;

// An entry takes at least this many bytes: one for each of its fields.
constexpr std::size_t kMinEntryBytes = 8;

// Flags of an entry.
constexpr std::uint64_t kLeavingFlag = 1;
constexpr std::uint64_t kColdFlag = 2;
constexpr std::uint64_t kTextAddressFlag = 4;  // not IPv4:port

class Writer {
 public:
  void Number(std::uint64_t value) {
    for (; value >= kContinuationBit; value >>= kBitsPerByte) {
      bytes_.push_back(static_cast<char>(value | kContinuationBit));
    }
    bytes_.push_back(static_cast<char>(value));
  }

  void Text(std::string_view text) {
    Number(text.size());
    bytes_.append(text);
  }

  // Writes a name in full the first time, and only its index after that.
  void Name(const std::string& name) {
    const auto [entry, added] = names_.try_emplace(name, names_.size());
    Number(entry->second);
    if (added) {
      Text(name);
    }
  }

  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
  std::map<std::string, std::uint64_t> names_;
};

// After a failure, all further reads return zero or an empty string.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  // A number of at most `max`; a larger one is a failure.
  std::uint64_t NumberUpTo(std::uint64_t max) {
    const std::uint64_t number = Number();
    failed_ = failed_ || number > max;
    return failed_ ? 0 : number;
  }

  std::uint64_t Number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= kMaxShift; shift += kBitsPerByte) {
      if (bytes_.empty()) {
        break;
      }
      const auto byte = static_cast<std::uint8_t>(bytes_.front());
      bytes_.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & (kContinuationBit - 1U))
               << shift;
      if (byte < kContinuationBit) {
        // The last byte has one bit of a number of 64 bits.
        failed_ = failed_ || (shift == kMaxShift && byte > 1);
        return failed_ ? 0 : value;
      }
    }
    failed_ = true;
    return 0;
  }

  std::string Text() {
    const std::uint64_t size = Number();
    if (size > bytes_.size()) {
      failed_ = true;
      return "";
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }

  std::string Name() {
    const std::uint64_t number = Number();
    if (number == names_.size() && !failed_) {
      names_.push_back(Text());
    }
    if (number >= names_.size()) {
      failed_ = true;
      return "";
    }
    return names_[number];
  }

  bool failed() const { return failed_; }
  std::size_t bytes_left() const { return bytes_.size(); }
  bool IsAtEnd() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
  std::vector<std::string> names_;
  bool failed_ = false;
};

// The endpoint of an address if the address is exactly the canonical text of
// that endpoint (IPv4 and port), so that it can be written as numbers.
std::optional<boost::asio::ip::tcp::endpoint> ParseCanonicalAddress(
    const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint || !endpoint->address().is_v4()) {
    return std::nullopt;
  }
  const std::string text =
      endpoint->address().to_string() + ":" + std::to_string(endpoint->port());
  return text == address ? endpoint : std::nullopt;
}

void Write(Writer& writer, const UpstreamInfo& upstream) {
  const auto endpoint = ParseCanonicalAddress(upstream.address);
  const bool cold = upstream.cold_remaining > Duration::zero();
  std::uint64_t flags = upstream.leaving ? kLeavingFlag : 0U;
  flags |= cold ? kColdFlag : 0U;
  flags |= endpoint ? 0U : kTextAddressFlag;
  writer.Number(flags);
  writer.Text(upstream.id);
  if (endpoint) {
    writer.Number(endpoint->address().to_v4().to_uint());
    writer.Number(endpoint->port());
  } else {
    writer.Text(upstream.address);
  }
  writer.Name(upstream.service);
  writer.Name(upstream.domain);
  writer.Name(upstream.version);
  writer.Number(upstream.started_ms);
  writer.Number(static_cast<std::uint64_t>(ClampOutside(upstream.slots)));
  if (cold) {
    const Duration cold_remaining = ClampOutside(upstream.cold_remaining);
    writer.Number(static_cast<std::uint64_t>(cold_remaining.count()));
  }
}

std::string ReadAddress(Reader& reader) {
  const boost::asio::ip::address_v4 ip(static_cast<std::uint32_t>(
      reader.NumberUpTo(std::numeric_limits<std::uint32_t>::max())));
  const std::uint64_t port =
      reader.NumberUpTo(std::numeric_limits<std::uint16_t>::max());
  return ip.to_string() + ":" + std::to_string(port);
}

// A number of slots or a time that is too large is clamped: one odd upstream
// must not keep the whole list from the other hosts.
UpstreamInfo Read(Reader& reader) {
  UpstreamInfo upstream;
  const std::uint64_t flags = reader.Number();
  upstream.id = reader.Text();
  upstream.address =
      (flags & kTextAddressFlag) != 0 ? reader.Text() : ReadAddress(reader);
  upstream.service = reader.Name();
  upstream.domain = reader.Name();
  upstream.version = reader.Name();
  upstream.started_ms = reader.Number();
  upstream.slots = static_cast<int>(
      std::min<std::uint64_t>(reader.Number(), kMaxOutsideCount));
  upstream.leaving = (flags & kLeavingFlag) != 0;
  if ((flags & kColdFlag) != 0) {
    upstream.cold_remaining = Duration(
        std::min<std::uint64_t>(reader.Number(), kMaxOutsideDuration.count()));
  }
  return upstream;
}

}  // namespace

std::string EncodeUpstreams(const std::vector<UpstreamInfo>& upstreams) {
  Writer writer;
  writer.Number(upstreams.size());
  for (const UpstreamInfo& upstream : upstreams) {
    Write(writer, upstream);
  }
  return writer.Take();
}

std::optional<std::vector<UpstreamInfo>> DecodeUpstreams(
    std::string_view bytes) {
  Reader reader(bytes);
  const std::uint64_t count = reader.NumberUpTo(bytes.size() / kMinEntryBytes);
  std::vector<UpstreamInfo> upstreams;
  for (std::uint64_t i = 0; i < count && !reader.failed(); ++i) {
    upstreams.push_back(Read(reader));
  }
  if (reader.failed() || !reader.IsAtEnd()) {
    return std::nullopt;
  }
  return upstreams;
}

}  // namespace pathcleat
