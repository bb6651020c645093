#pragma once

#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <limits>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace Knapweedquay {

/// Callers' connections of one event loop that have a request in progress, and the size limit of their requests.
///
/// RESTinio creates its sockets from the event loop alone, so what they share hangs on the event loop.
class RequestsInProgress : public asio::execution_context::service {
public:
    using key_type = RequestsInProgress;
    static asio::execution_context::id id;

    explicit RequestsInProgress(asio::execution_context& context)
        : service(context)
    {
    }

    void add(const asio::ip::tcp::endpoint& caller) { m_callers.insert(caller); }
    void remove(const asio::ip::tcp::endpoint& caller)
    {
        const auto entry = m_callers.find(caller);
        if (entry != m_callers.end())
            m_callers.erase(entry);
    }
    bool contains(const asio::ip::tcp::endpoint& caller) const { return m_callers.count(caller) > 0; }

    /// Bytes of all requests that have no answer yet. False when they would exceed what a process may hold.
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes) { m_heldBytes -= bytes; }

    void setMaximumRequestBytes(std::size_t bytes) { m_maximumRequestBytes = bytes; }
    std::size_t maximumRequestBytes() const { return m_maximumRequestBytes; }

private:
    void shutdown() override { }

    // One entry for each request: a connection may have two.
    std::multiset<asio::ip::tcp::endpoint> m_callers;
    std::size_t m_heldBytes = 0;
    std::size_t m_maximumRequestBytes = std::numeric_limits<std::size_t>::max();
};

/// TCP socket of a caller's connection that answers a bad request before RESTinio closes it without a word.
///
/// It counts what was read since the last answer. When this side closes the connection while a request is
/// unfinished, the cause is a parse error, a limit or the read timeout, and the answer says which.
/// The names of the functions are those that Asio and RESTinio call.
class GuardedSocket {
public:
    using executor_type = asio::ip::tcp::socket::executor_type;

    explicit GuardedSocket(asio::io_context&);
    /// The source stays usable, as a moved-from Asio socket does: RESTinio accepts its next connection on it.
    GuardedSocket(GuardedSocket&& other) noexcept
        : m_state(std::exchange(other.m_state, std::make_shared<State>(other.m_state->context)))
    {
    }
    GuardedSocket& operator=(GuardedSocket&&) = default;
    ~GuardedSocket() = default;

    auto& lowest_layer() { return m_state->socket; }
    const auto& lowest_layer() const { return m_state->socket; }
    executor_type get_executor() { return m_state->socket.get_executor(); }
    auto remote_endpoint() const { return m_state->socket.remote_endpoint(); }
    bool is_open() const { return m_state->socket.is_open(); }

    template <typename... Arguments>
    void cancel(Arguments&&... arguments)
    {
        m_state->socket.cancel(std::forward<Arguments>(arguments)...);
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        auto observed = [state = m_state, buffers, next = std::forward<Handler>(handler)](const asio::error_code& error, std::size_t length) mutable {
            state->isPeerGone = error && error != asio::error::operation_aborted;
            state->hasRoom = state->requests.reserve(length);
            state->unansweredBytes += state->hasRoom ? length : 0;
            state->lastChunk = std::string_view(static_cast<const char*>(asio::const_buffer(*asio::buffer_sequence_begin(buffers)).data()), length);
            state->isInReadHandler = true;
            if (state->hasRoom)
                next(error, length);
            else
                next(asio::error::no_buffer_space, 0);
            state->isInReadHandler = false;
        };
        m_state->socket.async_read_some(buffers, std::move(observed));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        m_state->releaseBytes();
        m_state->socket.async_write_some(buffers, std::forward<Handler>(handler));
    }

    template <typename... Arguments>
    void shutdown(Arguments&&... arguments)
    {
        answerUnfinishedRequest();
        m_state->socket.shutdown(std::forward<Arguments>(arguments)...);
    }

    template <typename... Arguments>
    void close(Arguments&&... arguments)
    {
        m_state->socket.close(std::forward<Arguments>(arguments)...);
    }

private:
    struct State {
        explicit State(asio::io_context& ioContext)
            : context(ioContext)
            , socket(ioContext)
            , requests(asio::use_service<RequestsInProgress>(ioContext))
        {
        }
        State(const State&) = delete;
        State& operator=(const State&) = delete;
        ~State() { releaseBytes(); }

        void releaseBytes()
        {
            requests.release(unansweredBytes);
            unansweredBytes = 0;
        }

        asio::io_context& context;
        asio::ip::tcp::socket socket;
        RequestsInProgress& requests;
        std::size_t unansweredBytes = 0;
        /// False when the last bytes would have been more than the process may hold.
        bool hasRoom = true;
        /// What was read last; valid in the read handler only.
        std::string_view lastChunk;
        bool isInReadHandler = false;
        bool isPeerGone = false;
    };

    void answerUnfinishedRequest();

    std::shared_ptr<State> m_state;
};

} // namespace Knapweedquay
