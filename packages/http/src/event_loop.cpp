#include <egrettrestle/http/event_loop.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "detail/event_loop_state.hpp"

namespace egrettrestle {

namespace {

    using SteadyTimePoint = std::chrono::steady_clock::time_point;

    constexpr Milliseconds inputMeasurementInterval { 20 };
    // A turn of the loop handles at most 128 events. Four turns are two for new connections and two for their data; after a
    // time in which events can have piled up, there may be as many as the connections of a VM.
    constexpr int usualTurns = 4;
    constexpr int turnsAfterDelay = 16;
    constexpr Milliseconds delayedMeasurement { 100 };

    /// Repeats a function until the loop stops, at multiples of the interval since `origin`: functions with the same interval
    /// run in one wake-up of the process.
    class Repeater : public std::enable_shared_from_this<Repeater> {
    public:
        Repeater(boost::asio::io_context& context, SteadyTimePoint origin, Milliseconds interval, std::function<void()> function)
            : m_timer(context)
            , m_origin(origin)
            , m_interval(interval)
            , m_function(std::move(function))
        {
        }

        void schedule()
        {
            const SteadyTimePoint now = std::chrono::steady_clock::now();
            m_timer.expires_at(now + m_interval - (now - m_origin) % m_interval);
            m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
                if (error)
                    return;
                self->schedule();
                self->m_function();
            });
        }

    private:
        boost::asio::steady_timer m_timer;
        SteadyTimePoint m_origin;
        Milliseconds m_interval;
        std::function<void()> m_function;
    };

}

void EventLoop::State::run()
{
    threadId = std::this_thread::get_id();
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            if (onError)
                onError(error.what());
        }
    }
}

EventLoop::EventLoop(ErrorHandler onError)
    : m_state(std::make_unique<State>())
{
    m_state->onError = std::move(onError);
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start()
{
    runEvery(inputMeasurementInterval, [this] { measureInput(); });
    m_state->thread = std::thread([this] { m_state->run(); });
}

void EventLoop::stop()
{
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

void EventLoop::post(std::function<void()> function)
{
    boost::asio::post(m_state->context, std::move(function));
}

void EventLoop::runAfter(Milliseconds delay, std::function<void()> function)
{
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_state->context, delay);
    // The timer's own operations are not thread-safe; this one is not used by any other thread.
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code& error) {
        if (!error)
            function();
    });
}

void EventLoop::runEvery(Milliseconds interval, std::function<void()> function)
{
    std::make_shared<Repeater>(m_state->context, m_state->origin, interval, std::move(function))->schedule();
}

namespace {

    /// Calls a function after a number of turns of a context, in each of which all that is ready is handled.
    void afterTurns(boost::asio::io_context& context, int turns, std::function<void()> function)
    {
        boost::asio::post(context, [&context, turns, function = std::move(function)]() mutable {
            if (turns > 1)
                afterTurns(context, turns - 1, std::move(function));
            else
                function();
        });
    }

}

void EventLoop::measureInput()
{
    if (m_state->measuringInput)
        return;
    m_state->measuringInput = true;
    const TimePoint begin = bootTimeNow();
    const bool delayed = begin - m_state->inputHandledUntil.load() > delayedMeasurement;
    afterTurns(m_state->context, delayed ? turnsAfterDelay : usualTurns, [this, begin] {
        m_state->inputHandledUntil = begin;
        m_state->measuringInput = false;
    });
}

TimePoint EventLoop::inputHandledUntil() const
{
    return m_state->inputHandledUntil;
}

bool EventLoop::isLoopThread() const
{
    return m_state->threadId.load() == std::this_thread::get_id();
}

} // namespace egrettrestle
