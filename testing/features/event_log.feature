Feature: The event log is bounded and never blocks

  Scenario: A reader that stops reading causes dropped lines but no delay
    Given a log whose reader does not read
    When 5,000 lines of 1,000 bytes are written
    Then the writes took less than 2 s, and the next line that fits reports the number of dropped lines

  Scenario: The rate of lines of one kind is limited
    Given a log
    When 10,000 lines of one kind are written at once
    Then at most the burst is written, and the next line reports the number of dropped lines

  Scenario: A closed reader does not end the process
    Given a log whose reader has closed the pipe
    When 10 lines of 100 bytes are written
    Then the lines were dropped without an exception

  Scenario: An unexpected error in a task is logged as one line, and late timers are not logged
    Given a log that receives the messages of the event loop
    When a task ends with the error "broken invariant" and a timer is late
    Then one line gives the error and its location, and no other line was written
