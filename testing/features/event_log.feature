Feature: The log is bounded and never waits for its reader

  Scenario: A reader that stops reading costs lines and no time
    Given a log whose reader does not read
    When 5,000 lines of 1,000 bytes are written
    Then that took less than 2 s, and the next line that fits tells how many were dropped

  Scenario: Lines of one kind are bounded a second
    Given a log
    When 10,000 lines of one kind are written at once
    Then at most the burst is written, and the next line tells how many were left out

  Scenario: A log whose reader has gone does not end the process
    Given a log whose reader has gone
    When 10 lines of 100 bytes are written
    Then nothing was raised

  Scenario: An unexpected error in a task is one line of the log, and late timers are none
    Given a log that takes over the messages of the event loop
    When a task ends with the error "broken invariant" and a timer is late
    Then one line names the error and its place, and nothing else was written
