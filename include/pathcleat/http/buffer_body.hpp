// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "pathcleat/http/byte_buffer.hpp"

namespace pathcleat {

/// @brief Body type for Beast's parsers that collects a body in a ByteBuffer.
/// Errors: http::error::buffer_overflow if there is no memory.
/// @ingroup http
struct BufferBody {
  using value_type = ByteBuffer;

  class reader {  // NOLINT(readability-identifier-naming): named by Beast
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& error) {
      error = {};
      if (length) {
        body_.ExpectSize(*length);
      }
    }

    template <class ConstBuffers>
    std::size_t put(const ConstBuffers& buffers,
                    boost::system::error_code& error) {
      error = {};
      std::size_t count = 0;
      for (auto at = boost::asio::buffer_sequence_begin(buffers);
           at != boost::asio::buffer_sequence_end(buffers); ++at) {
        const boost::asio::const_buffer part = *at;
        if (!body_.Append(part.data(), part.size())) {
          error = boost::beast::http::error::buffer_overflow;
          return count;
        }
        count += part.size();
      }
      return count;
    }

    void finish(boost::system::error_code& error) {
      error = {};
      body_.ShrinkToFit();
    }

   private:
    value_type& body_;
  };
};

}  // namespace pathcleat
