#ifndef IBISMUX_HTTP_RESPONSE_MEMORY_H_
#define IBISMUX_HTTP_RESPONSE_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <unordered_map>

namespace ibismux::http {

/// Bounds the memory of the responses that all connections sharing it are
/// reading. `ClientOptions::max_body` bounds one response; servers that send
/// without end on many connections at once could still fill the memory.
///
/// Belongs to one event loop; not thread safe, except where stated.
class ResponseMemory {
 public:
  /// Something that reads a response.
  class Reader {
   public:
    /// Gives up the response and releases its memory. Called by `update()`,
    /// also that of the reader itself.
    virtual void give_up_response() = 0;

   protected:
    ~Reader() = default;
  };

  /// @param limit In bytes.
  explicit ResponseMemory(std::size_t limit) noexcept : limit(limit) {}
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  /// `reader` now holds `bytes`. If that is more than all may hold together,
  /// the readers that hold most give up, until it isn't.
  /// @return Whether `reader` still reads.
  [[nodiscard]] bool update(Reader& reader, std::size_t bytes);

  /// `reader` holds nothing any more. Must be called before it is destroyed.
  void release(Reader& reader);

  /// Bytes held by all readers. Thread safe.
  [[nodiscard]] std::size_t held() const noexcept {
    return this->total.load(std::memory_order_relaxed);
  }

  /// How many responses were given up. Thread safe.
  [[nodiscard]] std::size_t given_up() const noexcept {
    return this->responses_given_up.load(std::memory_order_relaxed);
  }

 private:
  const std::size_t limit;
  std::atomic<std::size_t> total{0};
  std::atomic<std::size_t> responses_given_up{0};
  std::unordered_map<Reader*, std::size_t> readers;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_RESPONSE_MEMORY_H_
